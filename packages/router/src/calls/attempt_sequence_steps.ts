import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  CrashSuspects,
  FleetRetryBudget,
  FleetWatch,
  LoadSums,
  ServerHealth,
  ServerNotices,
} from '@greengagecross/decisions';
import {MemberView} from '../members/member_view.js';
import {CallKind} from '../model/call_kind.js';
import {FleetState} from '../state/fleet_state.js';
import {CrashGuard} from '../suspects/crash_guard.js';
import {AttemptSequence} from './attempt_sequence.js';
import type {CallJob} from './call_job.js';
import {FleetRetries} from './fleet_retries.js';
import {InFlightCounter} from './in_flight_counter.js';
import {RouterMetrics} from '../metrics/router_metrics.js';
import {ColdServers} from './cold_servers.js';
import {ServerChooser} from './server_chooser.js';

const SERVICE = 'service';
const RETRIES = 10;

/** Retries of a service; counts those that were taken. */
class CountedRetries extends FleetRetries {
  taken = 0;

  override take(service: string): boolean {
    this.taken += 1;
    return super.take(service);
  }
}

/** World with the attempts of one request. */
interface SequenceWorld {
  servers: string[];
  state: FleetState;
  retries: CountedRetries;
  sequence: AttemptSequence;
  firstServer: string | undefined;
  reservedServer: string;
}

function makeJob(): CallJob {
  const route = {
    name: 'route',
    host: 'host',
    pathPrefix: '/',
    kind: CallKind.IDEMPOTENT,
    services: [{service: SERVICE, weight: 1}],
    timeoutMs: 1000,
    objectiveMs: 100,
    maxAttempts: 3,
    priority: 1,
    isPublic: true,
    isResumable: false,
  };
  const call = {
    host: 'host',
    method: 'GET',
    path: '/',
    target: '/',
    prompt: [],
    headers: {},
  };
  const trace = {attempts: [], mayHaveRun: false, placement: ''};
  return {
    route,
    call,
    trace,
    service: SERVICE,
    suspects: [],
  } as unknown as CallJob;
}

function setEvacuated(world: SequenceWorld, zones: readonly string[]): void {
  const version = {era: 0, revision: 2};
  world.state.evacuated.setAll(zones, version, performance.now());
}

Given(
  'a request of a service with the servers {string}',
  function (this: SequenceWorld, servers: string) {
    this.servers = servers.split(',');
    this.state = new FleetState();
    const entries = this.servers.map(id => ({
      id,
      service: SERVICE,
      address: {host: '127.0.0.1', port: 1},
      availabilityZone: id,
      slots: 1,
      isDraining: false,
      startedAtMs: 1,
    }));
    this.state.backends.setAll(
      entries,
      {era: 0, revision: 1, changeRevision: 1},
      0,
    );
    const watch = new FleetWatch('self', 1);
    const view = new MemberView('self', watch, new LoadSums());
    const limits = {ratio: 1, slack: RETRIES, windowMs: 10_000};
    this.retries = new CountedRetries(new FleetRetryBudget(limits), view);
    const chooser = new ServerChooser(
      'own',
      this.state.backends,
      new ServerHealth(),
      new InFlightCounter(),
      view,
      new ServerNotices(),
      this.state.evacuated,
      new ColdServers(
        'self',
        undefined,
        this.state,
        view,
        new RouterMetrics(),
        () => false,
      ),
    );
    const guard = new CrashGuard(
      new CrashSuspects(),
      'self',
      () => [],
      () => undefined,
    );
    this.sequence = new AttemptSequence(
      makeJob(),
      chooser,
      this.retries,
      guard,
    );
  },
);

When(
  'its first attempt is under way and the next server is reserved',
  function (this: SequenceWorld) {
    this.firstServer = this.sequence.takeNext()?.server.id;
    assert.ok(this.firstServer);
    assert.ok(this.sequence.acquireNext());
    // Without a measurement, the first server that was not tried is chosen.
    const reserved = this.servers.find(id => id !== this.firstServer);
    assert.ok(reserved);
    this.reservedServer = reserved;
  },
);

When(
  'the zone of the reserved server is evacuated',
  function (this: SequenceWorld) {
    setEvacuated(this, [this.reservedServer]);
  },
);

When(
  'the zones of all its servers are evacuated',
  function (this: SequenceWorld) {
    setEvacuated(this, this.servers);
  },
);

Then(
  /^its next attempt is at (the third server|no server|the reserved server)$/,
  function (this: SequenceWorld, which: string) {
    const next = this.sequence.takeNext()?.server.id;
    if (which === 'no server') {
      assert.equal(next, undefined);
    } else if (which === 'the reserved server') {
      assert.equal(next, this.reservedServer);
    } else {
      assert.ok(next);
      assert.ok(![this.firstServer, this.reservedServer].includes(next));
    }
  },
);

Then(
  'it has taken {int} retry/retries',
  function (this: SequenceWorld, count: number) {
    assert.equal(this.retries.taken, count);
  },
);
