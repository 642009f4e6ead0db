import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {CrashSuspects} from './crash_suspects.js';
import type {CrashReport} from './crash_report.js';
import {runCrashSimulation, type CrashRun} from './crash_simulation.js';

/** Time from a request to the crash of the engine at which it waits. */
const WAIT_MS = 150;
const GAP_MS = 400;

/** Two daemons that exchange all their reports at once. */
interface SuspectsWorld extends World {
  daemons: [CrashSuspects, CrashSuspects];
  nowMs: number;
  crashes: number;
  earlierReports: CrashReport[];
  runs: CrashRun[];
}

function listParts(prompt: string): {id: string; position: number}[] {
  return prompt.split(',').map((id, position) => ({id, position}));
}

function addCrash(world: SuspectsWorld, prompts: string, at = 0): void {
  const [first, second] = world.daemons;
  const [seer, other] = at === 0 ? [first, second] : [second, first];
  world.nowMs += GAP_MS;
  world.crashes += 1;
  const crash = {
    server: `engine-${world.crashes}`,
    atMs: world.nowMs,
    sentAtMs: world.nowMs - WAIT_MS,
  };
  const changed = prompts
    .split(' & ')
    .flatMap(prompt => seer.recordCrash(listParts(prompt), crash));
  other.merge(seer.makeReports(changed, world.nowMs), world.nowMs);
}

function addAnswer(world: SuspectsWorld, prompt: string, at: number): void {
  world.nowMs += 3000;
  const ids = prompt.split(',');
  const cleared = world.daemons[at]?.recordAnswer(ids, world.nowMs) ?? [];
  const reports = world.daemons[at]?.makeReports(cleared, world.nowMs) ?? [];
  world.daemons[1 - at]?.merge(reports, world.nowMs);
  world.nowMs += 3000;
}

Given('two daemons without crash suspects', function (this: SuspectsWorld) {
  this.daemons = [new CrashSuspects(), new CrashSuspects()];
  this.nowMs = 0;
  this.crashes = 0;
});

When(
  /^engines crash in turn under prompts "([^"]*)"(?: while "([^"]*)" is answered between)?$/,
  function (this: SuspectsWorld, prompts: string, answered: string | null) {
    for (const waiting of prompts.split(' | ')) {
      addCrash(this, waiting);
      if (answered !== null) addAnswer(this, answered, 0);
    }
  },
);

When(
  'engines crash in turn under prompts {string}, seen by one daemon after the other',
  function (this: SuspectsWorld, prompts: string) {
    prompts
      .split(' | ')
      .forEach((waiting, at) => addCrash(this, waiting, at % 2));
  },
);

When(
  '{int} engines go down within {int} ms while requests with the part {string} wait at each',
  function (this: SuspectsWorld, count: number, ms: number, part: string) {
    this.nowMs += GAP_MS;
    for (let at = 0; at < count; at += 1) {
      const atMs = this.nowMs + (ms * at) / count;
      const crash = {server: `engine-${at}`, atMs, sentAtMs: this.nowMs - 100};
      for (const daemon of this.daemons) {
        daemon.recordCrash(listParts(`first,${part}`), crash);
      }
    }
  },
);

When(
  'engines crash in turn under prompts {string}, of which the second daemon learns nothing',
  function (this: SuspectsWorld, prompts: string) {
    const second = this.daemons[1];
    this.daemons[1] = new CrashSuspects();
    for (const waiting of prompts.split(' | ')) addCrash(this, waiting);
    this.daemons[1] = second;
  },
);

When(
  /^the (first|second) daemon sees an answer begin with "([^"]*)"$/,
  function (this: SuspectsWorld, daemon: string, prompt: string) {
    this.earlierReports = this.daemons[0].listReports(8, this.nowMs);
    addAnswer(this, prompt, daemon === 'first' ? 0 : 1);
  },
);

When(
  "the first daemon's reports from before that arrive once more",
  function (this: SuspectsWorld) {
    const late = this.earlierReports.map(report => ({
      ...report,
      crashes: report.crashes.map(crash => ({
        ...crash,
        ageMs: crash.ageMs + 6000,
        sentAgeMs: crash.sentAgeMs + 6000,
      })),
    }));
    for (const daemon of this.daemons) daemon.merge(late, this.nowMs);
  },
);

When(
  '{int} trials of {string} crash an engine, each when it is due',
  function (this: SuspectsWorld, count: number, part: string) {
    for (let trial = 0; trial < count; trial += 1) {
      const condemned = this.daemons[0].findCondemned(['first', part]);
      assert.ok(condemned);
      this.nowMs = condemned.trialAtMs;
      addCrash(this, `first,${part}`);
    }
  },
);

When(
  /^in (\d+) seeded runs of (\d+) s, (\d+) requests a second of (\d+) subjects go to (\d+) engines of which (\d+) a second crash for 3 s(?:, and (\d+) in 100 have a deadly part)?$/,
  function (
    this: SuspectsWorld,
    runs: string,
    seconds: string,
    requests: string,
    subjects: string,
    engines: string,
    crashes: string,
    share: string | null,
  ) {
    this.runs = Array.from({length: Number(runs)}, (unused, seed) =>
      runCrashSimulation({
        seed,
        seconds: Number(seconds),
        requestsPerSecond: Number(requests),
        subjects: Number(subjects),
        engines: Number(engines),
        crashesPerSecond: Number(crashes),
        deadlyShare: Number(share ?? 0) / 100,
      }),
    );
  },
);

Then(
  'the daemons condemn {string}',
  function (this: SuspectsWorld, expected: string) {
    for (const daemon of this.daemons) {
      const ids = daemon.listCondemned().map(({id}) => id);
      assert.equal(ids.join(','), expected);
    }
  },
);

Then(
  /^the daemons (refuse|let pass) the prompt "([^"]*)"$/,
  function (this: SuspectsWorld, verdict: string, prompt: string) {
    for (const daemon of this.daemons) {
      const condemned = daemon.findCondemned(prompt.split(','));
      assert.equal(condemned !== undefined, verdict === 'refuse');
    }
  },
);

Then(
  '{string} is due for a trial {int} s after its last crash',
  function (this: SuspectsWorld, part: string, seconds: number) {
    for (const daemon of this.daemons) {
      const condemned = daemon.findCondemned(['first', part]);
      const lastMs = condemned?.crashes.at(-1)?.atMs ?? 0;
      assert.equal((condemned?.trialAtMs ?? 0) - lastMs, seconds * 1000);
    }
  },
);

Then('no run condemned a part', function (this: SuspectsWorld) {
  for (const {condemned} of this.runs) assert.deepEqual(condemned, []);
});

Then(
  'each run condemned the deadly part alone, and sent it no later than {int} s after the fifth crash',
  function (this: SuspectsWorld, seconds: number) {
    for (const {condemned, lastDeadlyAfterMs} of this.runs) {
      assert.deepEqual(condemned, ['dead']);
      assert.ok(lastDeadlyAfterMs <= seconds * 1000, `${lastDeadlyAfterMs} ms`);
    }
  },
);

Given(
  'the work of checking a prompt whose parts are condemned together',
  function (this: SuspectsWorld & {work: (size: number) => void}) {
    const made = new Map<number, {suspects: CrashSuspects; ids: string[]}>();
    const make = (size: number): {suspects: CrashSuspects; ids: string[]} => {
      const suspects = new CrashSuspects();
      const parts = Array.from({length: size}, (unused, position) => ({
        id: `part-${position}`,
        position,
      }));
      for (const atMs of [1000, 2000, 3000]) {
        const crash = {
          server: `engine-${atMs}`,
          atMs,
          sentAtMs: atMs - WAIT_MS,
        };
        suspects.recordCrash(parts, crash);
      }
      return {suspects, ids: parts.map(({id}) => id)};
    };
    this.work = size => {
      const entry = made.get(size) ?? make(size);
      made.set(size, entry);
      assert.ok(entry.suspects.findCondemned(entry.ids));
    };
  },
);
