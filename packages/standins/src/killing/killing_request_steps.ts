import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  Outcome,
  OutcomeReason,
  type BackendServer,
} from '@greengagecross/common';
import {CRASH_MARKER} from '../faults.js';
import type {FleetWorld} from '../fleet/fleet_world_steps.js';
import {sendJson} from '../fleet/http_json.js';
import {waitUntil} from '../fleet/wait_until.js';
import {StandinKind} from '../standin_kind.js';
import {UnrelatedLoad} from './unrelated_load.js';
import {
  CrashingRequestSender,
  type CrashingKind,
  type CrashingReply,
} from './crashing_request_sender.js';

const SENDS = 50;
const LOOPS_OF_EACH = 8;
const WORKER_SLOW_MS = 200;
const WAIT_LIMIT_MS = 60_000;
const STEP_LIMIT_MS = 300_000;
const SIZE = {
  daemons: 5,
  engines: 5,
  workers: 4,
  customers: 4,
  profile: {msPerToken: 10},
  tuning: {
    directoryKeepMs: 500,
    peerTimeoutMs: 2000,
    backendSilenceMs: 30_000,
  },
};

/** Fixture of a scenario about a request that crashes backend servers. */
export interface CrashingWorld extends FleetWorld {
  unrelatedLoad: UnrelatedLoad;
  unrelatedLoadEnd: Promise<void>;
  replies: CrashingReply[];
  /** Requests at crashes, as counted by a daemon before it was killed. */
  crashesOfKilledDaemon: number;
}

Given(
  'a fleet of five daemons whose crashed backend servers are restarted',
  async function (this: CrashingWorld) {
    const fleet = await this.startFleet(SIZE);
    for (const worker of fleet.plan.workers) {
      await fleet.setBackendFaults(worker, {slowMs: WORKER_SLOW_MS});
    }
  },
);

Given(
  'unrelated chats and lookups in flight on every backend server',
  {timeout: STEP_LIMIT_MS},
  async function (this: CrashingWorld) {
    const {plan} = this.getFleet();
    this.unrelatedLoad = new UnrelatedLoad(plan);
    this.unrelatedLoadEnd = this.unrelatedLoad.run(LOOPS_OF_EACH);
    for (const engine of plan.engines) {
      await waitUntil(
        `a request running on ${engine.id}`,
        WAIT_LIMIT_MS,
        async () => {
          const load = await sendJson<{running: number}>(
            engine,
            'GET',
            '/observe/load',
          );
          return load.running > 0;
        },
      );
    }
  },
);

When(
  /^a (.+) that kills is sent 50 times, to the daemons in turn, while (.+)$/,
  {timeout: STEP_LIMIT_MS},
  async function (this: CrashingWorld, kind: string, meanwhile: string) {
    const fleet = this.getFleet();
    const {daemons, customers} = fleet.plan;
    const [customer] = customers;
    const last = daemons.at(-1);
    assert.ok(customer !== undefined && last !== undefined);
    const sender = new CrashingRequestSender(kind as CrashingKind, customer);
    const isFrozen = meanwhile.startsWith('a daemon is frozen');
    if (isFrozen) fleet.getChild(last.id).send('SIGSTOP');
    if (meanwhile === 'the platform is down') {
      await fleet.setPlatformFaults({down: true});
    }
    this.replies = [];
    this.crashesOfKilledDaemon = 0;
    for (let sends = 0; sends < SENDS; sends += 1) {
      const daemon = daemons[sends % daemons.length];
      assert.ok(daemon !== undefined);
      this.replies.push(await sender.send(daemon));
      await startCrashedBackends(this);
      if (sends > 0) continue;
      if (isFrozen) {
        fleet.getChild(last.id).send('SIGCONT');
        this.replies.push(await sender.send(last));
      }
      if (meanwhile.startsWith('a daemon is killed')) {
        const {suspects} = await fleet.readDump(daemon);
        this.crashesOfKilledDaemon = suspects.crashes;
        const child = fleet.getChild(daemon.id);
        child.send('SIGKILL');
        await child.waitEnd();
        await fleet.startDaemon(daemon);
        this.replies.push(await sender.send(daemon));
      }
    }
    this.unrelatedLoad.stop();
    await this.unrelatedLoadEnd;
    await fleet.setPlatformFaults({down: false});
  },
);

Then(
  'at most {int} backend servers crashed from the request that kills',
  function (this: CrashingWorld, maxCrashes: number) {
    const lost = countCrashingRuns(this);
    const replies = JSON.stringify(countReplies(this.replies));
    assert.ok(lost >= 1, 'no backend server crashed');
    assert.ok(lost <= maxCrashes, `${lost} crashed; replies ${replies}`);
  },
);

Then(
  'the last reply refused the request as a suspect without Retry-After',
  function (this: CrashingWorld) {
    const last = this.replies.at(-1);
    assert.deepEqual(last, {
      status: 422,
      outcome: Outcome.NOT_RUN,
      reason: OutcomeReason.SUSPECTED,
      hasRetryAfter: false,
    });
  },
);

Then(
  'every unrelated request was answered and none was refused as a suspect',
  function (this: CrashingWorld) {
    const {works} = this.unrelatedLoad;
    assert.ok(works.length > 0);
    for (const {verdicts} of works) {
      const text = JSON.stringify(verdicts);
      const answered = verdicts.at(-1);
      assert.equal(answered?.outcome, Outcome.COMPLETE, text);
      assert.ok(answered.isCompleteAndOwn, text);
      const refused = verdicts.find(v => v.reason === OutcomeReason.SUSPECTED);
      assert.equal(refused, undefined, text);
    }
  },
);

Then(
  'unrelated requests were in flight on the crashed backend servers',
  async function (this: CrashingWorld) {
    const crashes =
      this.crashesOfKilledDaemon + (await countRequestsAtCrashes(this));
    const lost = countCrashingRuns(this);
    this.log(
      JSON.stringify({
        lost,
        crashes,
        works: this.unrelatedLoad.works.length,
        sentAgain: this.unrelatedLoad.works.filter(w => w.verdicts.length > 1)
          .length,
        told: countReplies(this.replies),
      }),
    );
    assert.ok(crashes > lost, `${crashes} requests at ${lost} crashes`);
  },
);

Then(
  'no unrelated non-streamed request failed because of a crash',
  function (this: CrashingWorld) {
    const failed = this.unrelatedLoad.works
      .filter(work => !work.isStream)
      .flatMap(work => work.verdicts)
      .filter(verdict => verdict.reason === OutcomeReason.BACKEND_FAILED);
    assert.deepEqual(failed, []);
  },
);

/** Lists all backend servers of the fleet. */
export function listBackends(
  world: CrashingWorld,
): {server: BackendServer; kind: StandinKind}[] {
  const {engines, workers} = world.getFleet().plan;
  return [
    ...engines.map(server => ({server, kind: StandinKind.ENGINE})),
    ...workers.map(server => ({server, kind: StandinKind.WORKER})),
  ];
}

/** Restarts the backend servers that have crashed. */
export async function startCrashedBackends(
  world: CrashingWorld,
): Promise<void> {
  const fleet = world.getFleet();
  const stopped = listBackends(world).filter(
    ({server}) => !fleet.getChild(server.id).isRunning(),
  );
  for (const {server, kind} of stopped) await fleet.startBackend(server, kind);
}

/** Counts the crashing request's runs; each run has crashed its server. */
function countCrashingRuns(world: CrashingWorld): number {
  return listBackends(world)
    .flatMap(({server}) => world.getFleet().readRuns(server))
    .filter(run => run.chat === CRASH_MARKER).length;
}

/** Counts the requests in flight at crashes, the crashing ones included. */
async function countRequestsAtCrashes(world: CrashingWorld): Promise<number> {
  const fleet = world.getFleet();
  const dumps = await Promise.all(
    fleet.plan.daemons.map(daemon => fleet.readDump(daemon)),
  );
  return dumps.reduce((total, {suspects}) => total + suspects.crashes, 0);
}

/** Counts the replies by status, outcome and reason. */
function countReplies(
  replies: readonly CrashingReply[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const {status, outcome, reason} of replies) {
    const key = `${status} ${outcome} ${reason}`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}
