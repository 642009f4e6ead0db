import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {FleetWorld} from '../fleet/fleet_world_steps.js';
import type {Fleet} from '../fleet/fleet.js';
import type {DaemonPlan} from '../fleet/fleet_plan.js';
import {waitUntil} from '../fleet/wait_until.js';
import {
  BOOKING_PATH,
  buildCustomerHeaders,
  buildRequest,
  sendRaw,
} from './edge_fleet.js';

const LIMIT_MS = 15_000;
const SIZE = {daemons: 1, engines: 1, workers: 1, customers: 1};
/** No call of the platform runs into its limit during a scenario. */
const PATIENT = {directoryKeepMs: 300, platformTimeoutMs: 60_000};
const PATHS: Readonly<Record<string, string>> = {
  configuration: '/v1/table',
  'host list': '/v1/hosts',
};
const REVISION = /^greengagecross_configuration_revision [1-9]/m;

/** State of one scenario about readiness. */
interface ReadyWorld extends FleetWorld {
  starting: Promise<void>;
}

Given(
  /^a daemon that starts while its (.+) cannot be read$/,
  async function (this: ReadyWorld, what: string) {
    const fleet = await this.startFleet({...SIZE, tuning: PATIENT});
    const daemon = findDaemon(fleet);
    fleet.getChild(daemon.id).send('SIGTERM');
    await fleet.getChild(daemon.id).waitEnd();
    const onlyPath = PATHS[what] ?? '';
    await fleet.setPlatformFaults({down: true, onlyPath});
    this.starting = fleet.startDaemon(daemon);
    await waitUntil('the daemon is alive', LIMIT_MS, () =>
      hasStatus(fleet, '/healthz', 200),
    );
  },
);

Given(
  'a daemon whose callers keep its answers for {int} ms',
  async function (this: ReadyWorld, directoryKeepMs: number) {
    await this.startFleet({...SIZE, tuning: {directoryKeepMs}});
  },
);

When('it is told to stop by a signal', async function (this: ReadyWorld) {
  const fleet = this.getFleet();
  assert.ok(await hasStatus(fleet, '/readyz', 200));
  fleet.getChild(findDaemon(fleet).id).send('SIGTERM');
  await waitUntil('the daemon is not ready', LIMIT_MS, () =>
    hasStatus(fleet, '/readyz', 503),
  );
});

Then(
  /^it is alive and not ready while (.+)$/,
  async function (this: ReadyWorld, sign: string) {
    const fleet = this.getFleet();
    switch (sign) {
      case 'it refuses calls as no-configuration': {
        const reply = await sendLookup(fleet);
        assert.equal(reply.outcome, 'not-run');
        assert.equal(reply.reason, 'no-configuration');
        break;
      }
      case 'its configuration is in force':
        await waitUntil('the configuration is in force', LIMIT_MS, async () =>
          REVISION.test((await ask(fleet, '/metrics')).body),
        );
        break;
      default:
        assert.equal((await sendLookup(fleet)).outcome, 'complete');
    }
    assert.ok(await hasStatus(fleet, '/readyz', 503));
    assert.ok(await hasStatus(fleet, '/healthz', 200));
  },
);

Then(
  /^it is ready once its (.+) can be read$/,
  async function (this: ReadyWorld, what: string) {
    const fleet = this.getFleet();
    assert.ok(what in PATHS, what);
    await fleet.setPlatformFaults({down: false, onlyPath: ''});
    await this.starting;
    assert.ok(await hasStatus(fleet, '/readyz', 200));
    assert.equal((await sendLookup(fleet)).outcome, 'complete');
  },
);

Then(
  'it ends with code {int} when its callers have gone',
  async function (this: ReadyWorld, code: number) {
    const fleet = this.getFleet();
    assert.equal(await fleet.getChild(findDaemon(fleet).id).waitEnd(), code);
  },
);

function findDaemon(fleet: Fleet): DaemonPlan {
  const [daemon] = fleet.plan.daemons;
  assert.ok(daemon !== undefined);
  return daemon;
}

function ask(fleet: Fleet, path: string) {
  return sendRaw(fleet, true, buildRequest(`GET ${path}`, {}));
}

async function hasStatus(
  fleet: Fleet,
  path: string,
  status: number,
): Promise<boolean> {
  // Before it listens, a daemon says nothing.
  const reply = await ask(fleet, path).catch(() => undefined);
  return reply?.status === status;
}

function sendLookup(fleet: Fleet) {
  const [customer] = fleet.plan.customers;
  assert.ok(customer !== undefined);
  const headers = buildCustomerHeaders(customer.id, customer.key);
  const line = `GET ${BOOKING_PATH}/cloths`;
  return sendRaw(fleet, false, buildRequest(line, headers));
}
