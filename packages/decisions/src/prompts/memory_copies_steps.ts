import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import type {PromptChoice} from './prompt_choice.js';
import type {PromptPart} from './prompt_part.js';
import {PromptPlacement} from './prompt_placement.js';

/** Fixture of one daemon that places prompts, with the loads of the engines. */
interface CopyWorld extends World {
  /** Requests in flight by engine. */
  loads: Map<string, number>;
  placement: PromptPlacement;
  /** Preferred engines by subject before any change. */
  preferredEngines: Map<string, string>;
  /** By subject, in the order of the prompts. */
  choices: Map<string, PromptChoice[]>;
}

/** At this time all engines have been running for longer than the history. */
const NOW_MS = 1_000_000;

function makePrompt(subject: string, tokens: number): PromptPart[] {
  return [
    {id: subject, tokens},
    {id: 'own', tokens: 300},
  ];
}

function chooseEngine(
  world: CopyWorld,
  subject: string,
  tokens: number,
  atMs: number,
  avoided?: string,
): PromptChoice {
  const engines = [...world.loads.keys()].map(id => ({id, startedAtMs: 0}));
  world.placement.setEngines(engines, atMs);
  const loads = [...world.loads].map(([id, inFlight]) => ({
    id,
    inFlight,
    isAvoided: id === avoided,
  }));
  const parts = makePrompt(subject, tokens);
  const choice = world.placement.choose(parts, loads, atMs);
  assert.ok(choice);
  const before = world.choices.get(subject) ?? [];
  world.choices.set(subject, [...before, choice]);
  return choice;
}

/** Finds a subject's preferred engine with a new, unused placement. */
function findPreferredEngine(world: CopyWorld, subject: string): string {
  const fresh = {...world, placement: new PromptPlacement()} as CopyWorld;
  const {engineId} = chooseEngine(fresh, subject, 100, NOW_MS);
  world.choices.delete(subject);
  return engineId;
}

function listSources(world: CopyWorld, subject: string): string[] {
  const choices = world.choices.get(subject) ?? [];
  return choices.flatMap(({cacheSourceId}) => cacheSourceId ?? []);
}

Given(
  '{int} engines with {int} prompts each and no cached subjects',
  function (this: CopyWorld, engines: number, each: number) {
    this.loads = new Map();
    for (let at = 1; at <= engines; at += 1) this.loads.set(`e${at}`, each);
    this.placement = new PromptPlacement();
    this.preferredEngines = new Map();
    this.choices = new Map();
  },
);

When(
  '{int} prompts of a subject of {int} tokens are placed and stay in flight',
  function (this: CopyWorld, count: number, tokens: number) {
    this.preferredEngines.set('hot', findPreferredEngine(this, 'hot'));
    for (let index = 0; index < count; index += 1) {
      const {engineId} = chooseEngine(this, 'hot', tokens, NOW_MS);
      this.loads.set(engineId, (this.loads.get(engineId) ?? 0) + 1);
    }
  },
);

When(
  'engine {int} leaves, and {int} ms later {int} subjects of {int} tokens are placed',
  function (
    this: CopyWorld,
    engine: number,
    afterMs: number,
    count: number,
    tokens: number,
  ) {
    const subjects = Array.from({length: count}, (unused, at) => `s${at}`);
    for (const subject of subjects) {
      this.preferredEngines.set(subject, findPreferredEngine(this, subject));
    }
    chooseEngine(this, 'other', 100, NOW_MS);
    this.loads.delete(`e${engine}`);
    chooseEngine(this, 'other', 100, NOW_MS);
    for (const subject of subjects) {
      chooseEngine(this, subject, tokens, NOW_MS + afterMs);
    }
  },
);

When(
  'the preferred engine of a subject of {int} tokens loses its cache and is avoided for one prompt',
  function (this: CopyWorld, tokens: number) {
    const preferred = findPreferredEngine(this, 'hot');
    this.preferredEngines.set('hot', preferred);
    chooseEngine(this, 'hot', tokens, NOW_MS);
    this.placement.recordCacheLost(preferred);
    chooseEngine(this, 'hot', tokens, NOW_MS, preferred);
    const substitute = this.choices.get('hot')?.[1]?.engineId ?? '';
    // At the bound, so that the next prompt goes to the preferred engine again.
    this.loads.set(substitute, 1000);
    chooseEngine(this, 'hot', tokens, NOW_MS);
  },
);

Then(
  'every other engine that got a prompt copied the subject once, from the preferred engine',
  function (this: CopyWorld) {
    const preferred = this.preferredEngines.get('hot') ?? '';
    const copies = (this.choices.get('hot') ?? []).filter(
      ({cacheSourceId}) => cacheSourceId !== undefined,
    );
    const used = new Set(this.choices.get('hot')?.map(c => c.engineId));
    used.delete(preferred);
    assert.ok(used.size > 0);
    assert.deepEqual(copies.map(c => c.engineId).sort(), [...used].sort());
    assert.ok(copies.every(({cacheSourceId}) => cacheSourceId === preferred));
  },
);

Then('the preferred engine copied nothing', function (this: CopyWorld) {
  const preferred = this.preferredEngines.get('hot');
  const onPreferred = this.choices
    .get('hot')
    ?.filter(c => c.engineId === preferred);
  assert.ok(
    onPreferred?.every(({cacheSourceId}) => cacheSourceId === undefined),
  );
});

Then(
  'all subjects of engine {int} are copied from that engine, and no other subjects',
  function (this: CopyWorld, engine: number) {
    for (const [subject, preferred] of this.preferredEngines) {
      const isMoved = preferred === `e${engine}`;
      const expected = isMoved ? [`e${engine}`] : [];
      assert.deepEqual(listSources(this, subject), expected);
    }
  },
);

Then('nothing is copied', function (this: CopyWorld) {
  for (const subject of this.preferredEngines.keys()) {
    assert.deepEqual(listSources(this, subject), []);
  }
});

Then(
  'the next prompt on the preferred engine copies the subject from the engine that served the prompt meanwhile',
  function (this: CopyWorld) {
    const [first, second, third] = this.choices.get('hot') ?? [];
    assert.equal(third?.engineId, first?.engineId);
    assert.equal(third?.cacheSourceId, second?.engineId);
  },
);
