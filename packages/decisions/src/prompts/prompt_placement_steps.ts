import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import type {EngineLoad} from './engine_load.js';
import {PromptPlacement} from './prompt_placement.js';
import type {PromptPart} from './prompt_part.js';

/** Fixture of one daemon that places prompts, with the state of the engines. */
interface PromptWorld extends World {
  /** Requests in flight by engine. */
  loads: Map<string, number>;
  avoided: Set<string>;
  placement: PromptPlacement;
  /** Engines of the prompts, in order. */
  chosen: string[];
  /**
   * Largest excess of an engine's load over 2 x mean + 3 when the engine got a
   * prompt; at most 0 while no load was above.
   */
  maxExcess: number;
  /**
   * Preferred engines before and after a change; or each subject and the engine
   * that it was placed on.
   */
  placements: Array<readonly [string, string]>;
}

/** Start of the engine that joins later than the others. */
const LATE_START_MS = 100_000;
const NOW_MS = 110_000;

function listLoads(world: PromptWorld): EngineLoad[] {
  const engines = [...world.loads.keys()].map(id => ({
    id,
    startedAtMs: id === 'new' ? LATE_START_MS : 0,
  }));
  world.placement.setEngines(engines, NOW_MS);
  return [...world.loads].map(([id, inFlight]) => ({
    id,
    inFlight,
    isAvoided: world.avoided.has(id),
  }));
}

function makePrompt(subject: string, index: number): PromptPart[] {
  return [
    {id: 'system', tokens: 500},
    {id: subject, tokens: 10_000},
    {id: `own-${index}`, tokens: 300},
  ];
}

/** Makes the placement of a daemon that has placed no prompts yet. */
function makePlacement(world: PromptWorld): PromptPlacement {
  world.placement = new PromptPlacement();
  return world.placement;
}

function findPreferredEngine(world: PromptWorld, subject: string): string {
  const parts = makePrompt(subject, 0);
  return (
    makePlacement(world).choose(parts, listLoads(world), NOW_MS)?.engineId ?? ''
  );
}

function chooseEngine(world: PromptWorld, subject: string): string {
  const parts = makePrompt(subject, 0);
  return (
    world.placement.choose(parts, listLoads(world), NOW_MS)?.engineId ?? ''
  );
}

/** Places a prompt and records the excess of its engine's load. */
function addPrompt(world: PromptWorld, index: number): void {
  const choice = world.placement.choose(
    makePrompt('hot', index),
    listLoads(world),
    NOW_MS,
  );
  assert.ok(choice);
  const loads = [...world.loads.values()];
  const mean = loads.reduce((a, b) => a + b, 0) / loads.length;
  const load = world.loads.get(choice.engineId) ?? 0;
  world.maxExcess = Math.max(world.maxExcess, load - (2 * mean + 3));
  world.loads.set(choice.engineId, load + 1);
  world.chosen.push(choice.engineId);
}

Given(
  '{int} engines with {int} prompts in flight each',
  function (this: PromptWorld, engines: number, each: number) {
    this.loads = new Map();
    for (let at = 1; at <= engines; at += 1) this.loads.set(`e${at}`, each);
    this.avoided = new Set();
    this.placement = new PromptPlacement();
    this.chosen = [];
    this.maxExcess = Number.NEGATIVE_INFINITY;
  },
);

Given(
  'engine {int} has only {int} prompt in flight',
  function (this: PromptWorld, engine: number, load: number) {
    this.loads.set(`e${engine}`, load);
  },
);

Given(
  'every engine but engine {int} is avoided',
  function (this: PromptWorld, engine: number) {
    this.avoided = new Set(this.loads.keys());
    this.avoided.delete(`e${engine}`);
  },
);

When(
  '{int} prompts of one subject are placed, each ending at once',
  function (this: PromptWorld, count: number) {
    for (let index = 0; index < count; index += 1) {
      const parts = makePrompt('hot', index);
      const choice = this.placement.choose(parts, listLoads(this), NOW_MS);
      this.chosen.push(choice?.engineId ?? '');
    }
  },
);

When(
  '{int} prompts of one subject are placed and stay in flight',
  function (this: PromptWorld, count: number) {
    for (let index = 0; index < count; index += 1) addPrompt(this, index);
  },
);

When('a prompt without shared parts is placed', function (this: PromptWorld) {
  const parts = [{id: 'own', tokens: 300}];
  const choice = this.placement.choose(parts, listLoads(this), NOW_MS);
  this.chosen.push(choice?.engineId ?? '');
});

When('a prompt with a subject is placed', function (this: PromptWorld) {
  this.chosen.push(findPreferredEngine(this, 'some'));
});

When(
  'the preferred engines of {int} subjects are compared with and without one more engine',
  function (this: PromptWorld, count: number) {
    const subjects = Array.from({length: count}, (unused, at) => `s${at}`);
    const before = subjects.map(subject => findPreferredEngine(this, subject));
    this.loads.set('new', this.loads.get('e1') ?? 0);
    this.placements = subjects.map(
      (subject, at) =>
        [before[at] ?? '', findPreferredEngine(this, subject)] as const,
    );
  },
);

Then(
  'the prompts went to {int} engine',
  function (this: PromptWorld, count: number) {
    assert.equal(new Set(this.chosen).size, count);
  },
);

Then(
  'the prompts went to at most {int} engines',
  function (this: PromptWorld, most: number) {
    assert.ok(new Set(this.chosen).size <= most);
  },
);

Then(
  'the prompt went to engine {int}',
  function (this: PromptWorld, engine: number) {
    assert.deepEqual(this.chosen, [`e${engine}`]);
  },
);

Then(
  'no engine got a prompt while its load was above twice the mean plus 3',
  function (this: PromptWorld) {
    assert.ok(this.maxExcess <= 0, `excess ${this.maxExcess}`);
  },
);

Then('no subject moved', function (this: PromptWorld) {
  for (const [before, after] of this.placements) assert.equal(after, before);
});

Given(
  '{int} subjects were placed once',
  function (this: PromptWorld, count: number) {
    this.placements = Array.from({length: count}, (unused, at) => {
      const subject = `s${at}`;
      return [subject, chooseEngine(this, subject)] as const;
    });
  },
);

When('{int} engine joins', function (this: PromptWorld, unusedCount: number) {
  this.loads.set('new', 0);
});

When('engine {int} leaves', function (this: PromptWorld, engine: number) {
  this.loads.delete(`e${engine}`);
});

When(
  'engine {int} crashes, all subjects are placed, and that engine returns',
  function (this: PromptWorld, engine: number) {
    const id = `e${engine}`;
    this.placement.recordCacheLost(id);
    this.avoided.add(id);
    for (const [subject] of this.placements) chooseEngine(this, subject);
    this.avoided.delete(id);
  },
);

Then(
  'all {int} subjects are placed on the same engines as before',
  function (this: PromptWorld, count: number) {
    assert.equal(this.placements.length, count);
    for (const [subject, engine] of this.placements) {
      assert.equal(chooseEngine(this, subject), engine);
    }
  },
);

Then(
  'only the subjects of engine {int} are placed on another engine',
  function (this: PromptWorld, engine: number) {
    for (const [subject, before] of this.placements) {
      const isMoved = chooseEngine(this, subject) !== before;
      assert.equal(isMoved, before === `e${engine}`);
    }
  },
);

Then(
  'no subject is placed on engine {int}',
  function (this: PromptWorld, engine: number) {
    for (const [subject] of this.placements) {
      assert.notEqual(chooseEngine(this, subject), `e${engine}`);
    }
  },
);
