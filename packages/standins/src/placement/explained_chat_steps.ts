import assert from 'node:assert/strict';
import {Then, type DataTable} from '@cucumber/cucumber';
import {Effect} from 'effect';
import {
  decodeJson,
  PlacementExplanationSchema,
  PlacementReason,
  type Address,
  type PlacementExplanation,
} from '@greengagecross/common';
import {HttpClient, type HttpReply} from '@greengagecross/http';
import {FLEET_KEYS} from '../fleet/fleet.js';
import type {FleetWorld} from '../fleet/fleet_world_steps.js';

const TIMEOUT_MS = 5000;
const OPERATOR_KEYS: Readonly<Record<string, string | undefined>> = {
  none: undefined,
  wrong: 'not-the-operator-key',
  operator: FLEET_KEYS.operator[0],
};

/** Fixture of the scenario: the fleet, and explanations by daemon id. */
interface ExplainWorld extends FleetWorld {
  explanations: Map<string, PlacementExplanation>;
}

function requestExplanation(
  client: HttpClient,
  address: Address,
  customer: string,
  key: string | undefined,
): Promise<HttpReply> {
  const query = new URLSearchParams({customer, chat: 'chat'});
  return Effect.runPromise(
    client.send({
      address,
      method: 'GET',
      path: `/v1/explain?${query.toString()}`,
      headers: key === undefined ? {} : {authorization: `Bearer ${key}`},
      connectTimeoutMs: TIMEOUT_MS,
      silenceMs: TIMEOUT_MS,
    }),
  );
}

Then(
  'some daemon attributes the choice to the ticket and names the engine that ran it',
  async function (this: ExplainWorld) {
    const fleet = this.getFleet();
    const client = new HttpClient();
    this.explanations = new Map();
    const customer = fleet.plan.customers[0]?.id ?? '';
    for (const {id, control} of fleet.plan.daemons) {
      const reply = await requestExplanation(
        client,
        control,
        customer,
        OPERATOR_KEYS['operator'],
      );
      const text = reply.body.toString();
      const explanation = decodeJson(PlacementExplanationSchema, text, id);
      this.explanations.set(id, explanation);
    }
    client.close();
    const records = await Promise.all(
      fleet.plan.engines.map(async engine => ({
        engine: engine.id,
        runs: await fleet.readRecord(engine),
      })),
    );
    const ranOn = records.find(({runs}) =>
      runs.some(run => run.workId === 'chat#2'),
    );
    const recent = [...this.explanations.values()].flatMap(e => e.recent);
    const last = recent.sort((a, b) => b.atMs - a.atMs)[0];
    assert.equal(last?.takenBy, ranOn?.engine);
    assert.equal(last?.ticketEngine, ranOn?.engine);
    assert.equal(last?.choices[0]?.reason, PlacementReason.TICKET_WARM);
  },
);

Then(
  'that daemon is the owner of the engine that it would choose',
  function (this: ExplainWorld) {
    const explained = [...this.explanations].filter(
      ([, explanation]) => explanation.recent.length > 0,
    );
    for (const [id, {owner, warmEngine, choices}] of explained) {
      assert.equal(owner, id);
      assert.equal(choices[0]?.engine, warmEngine);
    }
    assert.equal(explained.length, 1);
  },
);

Then(
  'every daemon refuses to explain as the table says',
  async function (this: ExplainWorld, table: DataTable) {
    const client = new HttpClient();
    const known = this.getFleet().plan.customers[0]?.id ?? '';
    for (const row of table.hashes()) {
      const customer = row['customer'] === 'known' ? known : 'nobody';
      for (const {control} of this.getFleet().plan.daemons) {
        const key = OPERATOR_KEYS[row['key'] ?? ''];
        const reply = await requestExplanation(client, control, customer, key);
        assert.equal(reply.status, Number(row['status']));
      }
    }
    client.close();
  },
);
