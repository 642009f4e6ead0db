import assert from 'node:assert/strict';
import {writeFileSync} from 'node:fs';
import type {EngineState} from '@greengagecross/backend';
import {ExitCode} from '@greengagecross/client';
import type {BackendServer} from '@greengagecross/common';
import type {DaemonPlan} from '../fleet/fleet_plan.js';
import {FleetWorld} from '../fleet/fleet_world_steps.js';
import {sendJson} from '../fleet/http_json.js';
import type {FleetLoad} from '../load/fleet_load.js';
import type {Answers} from '@greengagecross/questionnaire';
import type {MetOrder} from './order_desk.js';

/** Time that the fleet's engines take to load a version. */
export const WEIGHTS_LOAD_MS = 300;
/** Longest that a condition is waited for. */
export const LIMIT_MS = 90_000;
/** Options of the steps that wait. */
export const STEP = {timeout: LIMIT_MS + 10_000};

/** What a stand-in engine tells of the orders that it met. */
export interface ObservedOrders {
  readonly met: readonly MetOrder[];
  /** Orders that were kept under way. */
  readonly held: number;
}

/** State of a scenario about orders on a fleet of processes. */
export interface OrderFleetWorld extends FleetWorld {
  isChecking: boolean;
  load: FleetLoad | undefined;
  loadEnd: Promise<void>;
  answers: Answers;
  revision: number;
  /** Daemon that was killed or frozen. */
  lost: DaemonPlan | undefined;
}

/** Finds an engine of the fleet. */
export function findEngine(world: OrderFleetWorld, id: string): BackendServer {
  const engine = world.getFleet().plan.engines.find(plan => plan.id === id);
  assert.ok(engine, id);
  return engine;
}

/** Reads what an engine has loaded. */
export function readState(engine: BackendServer): Promise<EngineState> {
  return sendJson(engine, 'GET', '/v1/state');
}

/** Reads the orders that an engine met. */
export function readOrders(engine: BackendServer): Promise<ObservedOrders> {
  return sendJson(engine, 'GET', '/observe/orders');
}

/** Reads the orders that every engine met, each with its engine's list. */
export function readAllOrders(
  world: OrderFleetWorld,
): Promise<ObservedOrders[]> {
  return Promise.all(world.getFleet().plan.engines.map(readOrders));
}

/** Finds the daemons that hold a lease of orders; asks none that was lost. */
export async function listHolders(
  world: OrderFleetWorld,
): Promise<DaemonPlan[]> {
  const fleet = world.getFleet();
  const asked = fleet.plan.daemons.filter(daemon => daemon !== world.lost);
  const dumps = await Promise.all(asked.map(d => fleet.readDump(d)));
  return asked.filter((daemon, at) => (dumps[at]?.orders.length ?? 0) > 0);
}

/** Accepts answers through the client. */
export async function acceptAnswers(
  world: OrderFleetWorld,
  answers: Answers,
): Promise<void> {
  const fleet = world.getFleet();
  const file = fleet.findFile('ordered.json');
  const based = {...answers, basedOnRevision: world.revision};
  writeFileSync(file, JSON.stringify(based));
  const code = await fleet.runClient(['accept', '--answers', file]);
  assert.equal(code, ExitCode.OK);
  world.answers = answers;
  world.revision += 1;
}
