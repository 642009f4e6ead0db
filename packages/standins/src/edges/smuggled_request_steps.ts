import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {BackendHeader} from '@greengagecross/backend';
import type {EdgeWorld} from './callers_rights_steps.js';
import {
  BOOKING_PATH,
  buildCustomerHeaders,
  buildRequest,
  OWN_KEY,
  sendRaw,
} from './edge_fleet.js';

const SMUGGLED_ID = 'smuggled';
const BODY = [
  'POST /smuggled HTTP/1.1',
  'host: worker',
  `${BackendHeader.REQUEST_ID}: ${SMUGGLED_ID}`,
  `${BackendHeader.CUSTOMER}: customer-2`,
  'content-length: 2',
  '',
  '{}',
].join('\r\n');
const HEADERS = buildCustomerHeaders('customer-1', OWN_KEY);

/** State of one scenario about a body that reads as a request. */
interface SmuggleWorld extends EdgeWorld {
  runsBefore: number;
  bodies: string[];
}

When(
  /^a lookup by (\w+) bears a body that reads as a request$/,
  async function (this: SmuggleWorld, method: string) {
    this.runsBefore = listRuns(this).length;
    const line = `${method} ${BOOKING_PATH}/first`;
    const reply = await send(this, line, BODY);
    this.bodies = [reply];
  },
);

When('a second lookup follows it', async function (this: SmuggleWorld) {
  this.bodies.push(await send(this, `GET ${BOOKING_PATH}/second`, ''));
});

Then(
  'both lookups were answered with their own path',
  function (this: SmuggleWorld) {
    const paths = this.bodies.map(
      body => (JSON.parse(body) as {path?: string}).path,
    );
    assert.deepEqual(paths, ['/first', '/second'], this.bodies.join('\n'));
  },
);

Then(
  'the worker ran those two and no smuggled one',
  function (this: SmuggleWorld) {
    const runs = listRuns(this).slice(this.runsBefore);
    assert.equal(runs.length, 2, JSON.stringify(runs));
    for (const run of runs) {
      assert.notEqual(run.attemptId, SMUGGLED_ID);
      assert.equal(run.customer, 'customer-1');
    }
  },
);

function listRuns(world: EdgeWorld) {
  const [worker] = world.fleet.plan.workers;
  assert.ok(worker !== undefined);
  return world.fleet.readRuns(worker);
}

async function send(
  world: EdgeWorld,
  line: string,
  body: string,
): Promise<string> {
  const reply = await sendRaw(
    world.fleet,
    false,
    buildRequest(line, HEADERS, body),
  );
  return reply.body;
}
