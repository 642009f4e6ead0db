import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {Effect} from 'effect';
import {Outcome} from '@greengagecross/common';
import {HostState} from '@greengagecross/platform';
import type {CallerVerdict} from '../callers/caller_verdict.js';
import type {Fleet} from '../fleet/fleet.js';
import type {DaemonPlan} from '../fleet/fleet_plan.js';
import type {FleetWorld} from '../fleet/fleet_world_steps.js';
import {sendJson} from '../fleet/http_json.js';
import {FleetLoad} from '../load/fleet_load.js';

const OPERATOR_KEY = 'operator-key-of-this-fleet';
const SETTLE_MS = 300;
const STREAM_MS = 700;

/** Fixture of the planned stops: load, exit code and delay of the exit. */
interface StoppingWorld extends FleetWorld {
  load: FleetLoad;
  loadEnd: Promise<void>;
  exitCode: number | null;
  exitDelayMs: number;
}

Given(
  'a fleet under load whose callers cache directory answers for {int} ms and engines take {int} ms a token',
  async function (
    this: StoppingWorld,
    directoryKeepMs: number,
    msPerToken: number,
  ) {
    const fleet = await this.startFleet({
      daemons: 3,
      engines: 8,
      workers: 2,
      customers: 3,
      profile: {msPerToken},
      tuning: {directoryKeepMs},
    });
    this.load = new FleetLoad(fleet.plan, {
      seed: 7,
      chats: 6,
      bookings: 6,
      turnsPerChat: 3,
      chatPauseMs: 100,
      bookingPauseMs: 100,
    });
    this.loadEnd = Effect.runPromise(this.load.run());
    await sleep(STREAM_MS);
  },
);

When(
  /^every daemon is replaced in turn by (.+)$/,
  async function (this: StoppingWorld, path: string) {
    const fleet = this.getFleet();
    for (const daemon of fleet.plan.daemons) {
      await stopDaemon(path, fleet, daemon);
      assert.equal(await fleet.getChild(daemon.id).waitEnd(), 0);
      await fleet.setHosts(fleet.plan.hosts);
      await fleet.startDaemon(daemon);
      await sleep(SETTLE_MS);
    }
    this.load.stop();
    await this.loadEnd;
  },
);

When(
  'one daemon gets SIGTERM twice while it streams',
  async function (this: StoppingWorld) {
    const [daemon] = this.getFleet().plan.daemons;
    const child = this.getFleet().getChild(daemon?.id ?? '');
    child.send('SIGTERM');
    await sleep(SETTLE_MS);
    const startMs = performance.now();
    child.send('SIGTERM');
    this.exitCode = await child.waitEnd();
    this.exitDelayMs = performance.now() - startMs;
    this.load.stop();
    await this.loadEnd;
  },
);

Then(
  'no caller of the replaced daemons saw an error or a truncated answer',
  function (this: StoppingWorld) {
    const {verdicts} = this.load;
    const wrong = verdicts.filter(
      v => v.outcome !== Outcome.COMPLETE || !v.isCompleteAndOwn,
    );
    assert.ok(verdicts.length > 0);
    assert.equal(wrong.length, 0, describeFailed(wrong, verdicts.length));
  },
);

Then(
  'that daemon ends with code {int} within {int} s of the second SIGTERM',
  function (this: StoppingWorld, code: number, seconds: number) {
    assert.equal(this.exitCode, code);
    assert.ok(this.exitDelayMs < seconds * 1000, `${this.exitDelayMs} ms`);
  },
);

Then('an outcome was reported to every caller', function (this: StoppingWorld) {
  const {verdicts} = this.load;
  const untold = verdicts.filter(v => v.outcome === undefined);
  assert.equal(untold.length, 0, describeFailed(untold, verdicts.length));
  const short = verdicts.filter(
    v => v.outcome === Outcome.COMPLETE && !v.isCompleteAndOwn,
  );
  assert.equal(short.length, 0, describeFailed(short, verdicts.length));
});

async function stopDaemon(
  path: string,
  fleet: Fleet,
  daemon: DaemonPlan,
): Promise<void> {
  if (path === 'SIGTERM') {
    fleet.getChild(daemon.id).send('SIGTERM');
    return;
  }
  if (path === "an operator's drain") {
    const authorization = `Bearer ${OPERATOR_KEY}`;
    await sendJson(daemon.control, 'POST', '/v1/drain', undefined, {
      authorization,
    });
    return;
  }
  await fleet.setHosts(
    fleet.plan.hosts.map(host =>
      host.id === daemon.id ? {...host, state: HostState.LEAVING} : host,
    ),
  );
}

function describeFailed(
  failed: readonly CallerVerdict[],
  total: number,
): string {
  const kinds = failed.map(
    v =>
      `${v.kind}: ${v.outcome ?? 'nothing'} ${v.reason} after ${Math.round(v.totalMs)} ms`,
  );
  return `${failed.length} of ${total}: ${kinds.slice(0, 8).join(', ')}`;
}
