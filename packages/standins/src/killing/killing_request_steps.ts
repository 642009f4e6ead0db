import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  Outcome,
  RefusalReason,
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

/** State of a scenario about a request that crashes backend servers. */
interface CrashingWorld extends FleetWorld {
  unrelatedLoad: UnrelatedLoad;
  unrelatedLoadEnd: Promise<void>;
  replies: CrashingReply[];
  /** Counted by daemons that were killed since. */
  crashesOfKilledDaemon: number;
}

Given(
  'a fleet of five daemons whose backend servers are started again',
  async function (this: CrashingWorld) {
    const fleet = await this.startFleet(SIZE);
    for (const worker of fleet.plan.workers) {
      await fleet.setBackendFaults(worker, {slowMs: WORKER_SLOW_MS});
    }
  },
);

Given(
  'innocent chats and lookups in flight on every backend server',
  {timeout: STEP_LIMIT_MS},
  async function (this: CrashingWorld) {
    const {plan} = this.getFleet();
    this.unrelatedLoad = new UnrelatedLoad(plan);
    this.unrelatedLoadEnd = this.unrelatedLoad.run(LOOPS_OF_EACH);
    for (const engine of plan.engines) {
      await waitUntil(`${engine.id} runs`, WAIT_LIMIT_MS, async () => {
        const load = await sendJson<{running: number}>(
          engine,
          'GET',
          '/observe/load',
        );
        return load.running > 0;
      });
    }
  },
);

When(
  /^a (.+) that kills is sent 50 times through every daemon while (.+)$/,
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
  'at most {int} backend servers were lost to the request that kills',
  function (this: CrashingWorld, most: number) {
    const lost = countCrashingRuns(this);
    const told = JSON.stringify(countReplies(this.replies));
    assert.ok(lost >= 1, 'it killed nothing');
    assert.ok(lost <= most, `${lost} lost; told ${told}`);
  },
);

Then(
  'its caller was told at last not to send it again',
  function (this: CrashingWorld) {
    const last = this.replies.at(-1);
    assert.deepEqual(last, {
      status: 422,
      outcome: Outcome.NOT_RUN,
      reason: RefusalReason.SUSPECTED,
      hasRetryAfter: false,
    });
  },
);

Then(
  'every innocent request beside it was answered and none was blamed',
  function (this: CrashingWorld) {
    const {works} = this.unrelatedLoad;
    assert.ok(works.length > 0);
    for (const {verdicts} of works) {
      const text = JSON.stringify(verdicts);
      const answered = verdicts.at(-1);
      assert.equal(answered?.told, Outcome.COMPLETE, text);
      assert.ok(answered.isOwnWhole, text);
      const blamed = verdicts.find(v => v.reason === RefusalReason.SUSPECTED);
      assert.equal(blamed, undefined, text);
    }
  },
);

Then(
  'innocent requests were in flight on what was lost',
  async function (this: CrashingWorld) {
    const crashes = this.crashesOfKilledDaemon + (await countRequestsAtCrashes(this));
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
  'no whole innocent request had to be sent again for a crash',
  function (this: CrashingWorld) {
    const failed = this.unrelatedLoad.works
      .filter(work => !work.isStream)
      .flatMap(work => work.verdicts)
      .filter(verdict => verdict.reason === RefusalReason.BACKEND_FAILED);
    assert.deepEqual(failed, []);
  },
);

function listBackends(
  world: CrashingWorld,
): {server: BackendServer; kind: StandinKind}[] {
  const {engines, workers} = world.getFleet().plan;
  return [
    ...engines.map(server => ({server, kind: StandinKind.ENGINE})),
    ...workers.map(server => ({server, kind: StandinKind.WORKER})),
  ];
}

/** Starts what was lost again, once the caller has been told. */
async function startCrashedBackends(world: CrashingWorld): Promise<void> {
  const fleet = world.getFleet();
  const stopped = listBackends(world).filter(
    ({server}) => !fleet.getChild(server.id).isRunning(),
  );
  for (const {server, kind} of stopped) await fleet.startBackend(server, kind);
}

/** Each run of the request that kills has cost its backend server. */
function countCrashingRuns(world: CrashingWorld): number {
  return listBackends(world)
    .flatMap(({server}) => world.getFleet().readRuns(server))
    .filter(run => run.chat === CRASH_MARKER).length;
}

/** Counts the requests in flight at crashes, that of the killer included. */
async function countRequestsAtCrashes(world: CrashingWorld): Promise<number> {
  const fleet = world.getFleet();
  const dumps = await Promise.all(
    fleet.plan.daemons.map(daemon => fleet.readDump(daemon)),
  );
  return dumps.reduce((total, {suspects}) => total + suspects.crashes, 0);
}

function countReplies(replies: readonly CrashingReply[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const {status, outcome, reason} of replies) {
    const key = `${status} ${outcome} ${reason}`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}
