import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import type {PromptChoice} from './prompt_choice.js';
import type {PromptPart} from './prompt_part.js';
import {PromptPlacement} from './prompt_placement.js';

/** State of one scenario about copying subjects between engines. */
interface CopyWorld extends World {
  loads: Map<string, number>;
  placement: PromptPlacement;
  /** Homes by subject before any change. */
  homes: Map<string, string>;
  choices: Map<string, PromptChoice[]>;
}

/** All engines have run for longer than the history goes back. */
const NOW_MS = 1_000_000;

function makePrompt(subject: string, tokens: number): PromptPart[] {
  return [
    {id: subject, tokens},
    {id: 'own', tokens: 300},
  ];
}

function choosePlace(
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
  const known = world.choices.get(subject) ?? [];
  world.choices.set(subject, [...known, choice]);
  return choice;
}

/** Finds homes as a daemon that knows no subject does. */
function findHome(world: CopyWorld, subject: string): string {
  const fresh = {...world, placement: new PromptPlacement()} as CopyWorld;
  const {engineId} = choosePlace(fresh, subject, 100, NOW_MS);
  world.choices.delete(subject);
  return engineId;
}

function listSources(world: CopyWorld, subject: string): string[] {
  const choices = world.choices.get(subject) ?? [];
  return choices.flatMap(({memorySourceId}) => memorySourceId ?? []);
}

Given(
  '{int} engines with {int} prompts each that know no subject yet',
  function (this: CopyWorld, engines: number, each: number) {
    this.loads = new Map();
    for (let at = 1; at <= engines; at += 1) this.loads.set(`e${at}`, each);
    this.placement = new PromptPlacement();
    this.homes = new Map();
    this.choices = new Map();
  },
);

When(
  '{int} prompts of a subject of {int} tokens are placed and stay',
  function (this: CopyWorld, count: number, tokens: number) {
    this.homes.set('hot', findHome(this, 'hot'));
    for (let own = 0; own < count; own += 1) {
      const {engineId} = choosePlace(this, 'hot', tokens, NOW_MS);
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
      this.homes.set(subject, findHome(this, subject));
    }
    choosePlace(this, 'other', 100, NOW_MS);
    this.loads.delete(`e${engine}`);
    choosePlace(this, 'other', 100, NOW_MS);
    for (const subject of subjects) {
      choosePlace(this, subject, tokens, NOW_MS + afterMs);
    }
  },
);

When(
  'the home of a subject of {int} tokens is avoided for one prompt and then lost its memory',
  function (this: CopyWorld, tokens: number) {
    const home = findHome(this, 'hot');
    this.homes.set('hot', home);
    choosePlace(this, 'hot', tokens, NOW_MS);
    this.placement.removeEngine(home);
    choosePlace(this, 'hot', tokens, NOW_MS, home);
    const substitute = this.choices.get('hot')?.[1]?.engineId ?? '';
    // Full, so that the prompt goes to its home again.
    this.loads.set(substitute, 1000);
    choosePlace(this, 'hot', tokens, NOW_MS);
  },
);

Then(
  'each engine but its home copied it once, from its home',
  function (this: CopyWorld) {
    const home = this.homes.get('hot') ?? '';
    const copies = (this.choices.get('hot') ?? []).filter(
      ({memorySourceId}) => memorySourceId !== undefined,
    );
    const used = new Set(this.choices.get('hot')?.map(c => c.engineId));
    used.delete(home);
    assert.ok(used.size > 0);
    assert.deepEqual(copies.map(c => c.engineId).sort(), [...used].sort());
    assert.ok(copies.every(({memorySourceId}) => memorySourceId === home));
  },
);

Then('its home copied nothing', function (this: CopyWorld) {
  const home = this.homes.get('hot');
  const atHome = this.choices.get('hot')?.filter(c => c.engineId === home);
  assert.ok(atHome?.every(({memorySourceId}) => memorySourceId === undefined));
});

Then(
  'all subjects whose home was engine {int} are copied from it, no others',
  function (this: CopyWorld, engine: number) {
    for (const [subject, home] of this.homes) {
      const isMoved = home === `e${engine}`;
      const expected = isMoved ? [`e${engine}`] : [];
      assert.deepEqual(listSources(this, subject), expected);
    }
  },
);

Then('nothing is copied', function (this: CopyWorld) {
  for (const subject of this.homes.keys()) {
    assert.deepEqual(listSources(this, subject), []);
  }
});

Then(
  'the next prompt at its home copies it from the engine that took its place',
  function (this: CopyWorld) {
    const [first, second, third] = this.choices.get('hot') ?? [];
    assert.equal(third?.engineId, first?.engineId);
    assert.equal(third?.memorySourceId, second?.engineId);
  },
);
