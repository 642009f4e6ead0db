import type {PlacementRules, Ticket} from '@greengagecross/common';
import {computeLoadBound, findEarlierEngine} from '@greengagecross/decisions';
import type {BenchSize} from '../bench_size.js';
import {EventQueue} from '../event_queue.js';
import {Trace, type TraceRequest} from '../trace.js';
import {BenchFleet} from './bench_fleet.js';
import {PlacementTally} from './placement_tally.js';
import type {
  PlacedRequest,
  PlacementRun,
  PlacementWay,
} from './placement_way.js';
import type {Scenario} from './scenario.js';

const HEARTBEAT_MS = 500;
const SAMPLE_MS = 1000;

interface ChatState {
  readonly ticket: Ticket;
  /** Every engine that ran a turn and may have the context cached. */
  readonly ranOn: Set<string>;
}

/** Makes the way that a simulation drives. */
export type WayMaker = (fleet: BenchFleet, run: PlacementRun) => PlacementWay;

/** Drives one way with a trace in virtual time and tallies what it costs. */
export class PlacementSimulation {
  readonly tally = new PlacementTally();
  private readonly queue = new EventQueue();
  private readonly fleet: BenchFleet;
  private readonly trace: Trace;
  private readonly way: PlacementWay;
  private readonly chats = new Map<number, ChatState>();
  private inFlight = 0;

  constructor(
    private readonly size: BenchSize,
    scenario: Scenario,
    private readonly rules: PlacementRules,
    seed: number,
    makeWay: WayMaker,
  ) {
    this.fleet = new BenchFleet(size, scenario, rules, seed);
    this.trace = new Trace(size, seed, this.queue, request =>
      this.dispatch(request),
    );
    this.way = makeWay(this.fleet, {
      getNowMs: () => this.queue.getNowMs(),
      start: (request, engine) => this.start(request, engine),
      refuse: () => {
        this.tally.refused += 1;
      },
      schedule: (delayMs, run) => this.queue.schedule(delayMs, run),
      countMessages: messages => {
        this.tally.messages += messages;
      },
    });
  }

  /** Runs to the end of the size's duration. */
  run(): PlacementTally {
    this.trace.start();
    this.scheduleEvery(HEARTBEAT_MS, () => this.way.sendHeartbeats());
    this.scheduleEvery(SAMPLE_MS, () => this.sample());
    const lastQuarterMs = this.size.durationMs * (3 / 4);
    this.queue.schedule(lastQuarterMs, () => this.tally.startLastQuarter());
    this.queue.run(this.size.durationMs);
    return this.tally;
  }

  private scheduleEvery(periodMs: number, work: () => void): void {
    this.queue.schedule(periodMs, () => {
      work();
      this.scheduleEvery(periodMs, work);
    });
  }

  private dispatch(request: TraceRequest): void {
    this.tally.requests += 1;
    const chat = this.chats.get(request.chat);
    if (chat !== undefined) this.recordReturn(request, chat);
    this.way.dispatch({
      ...request,
      ticket: chat?.ticket,
      sentAtMs: this.queue.getNowMs(),
    });
  }

  private recordReturn(request: TraceRequest, chat: ChatState): void {
    const warm = [...chat.ranOn].filter(id =>
      this.fleet.getEngine(id).has(request.chat),
    );
    if (warm.length === 0) return;
    this.tally.returns += 1;
    const group = this.fleet.getTrueGroup(this.queue.getNowMs());
    const bound = computeLoadBound(this.inFlight, group.ids.length, this.rules);
    const isUsable = warm.some(
      id => group.has(id) && this.fleet.getEngine(id).inFlight < bound,
    );
    if (!isUsable) this.tally.unavoidable += 1;
  }

  private start(request: PlacedRequest, id: string): boolean {
    const nowMs = this.queue.getNowMs();
    if (!this.fleet.getTrueGroup(nowMs).has(id)) return false;
    const engine = this.fleet.getEngine(id);
    const chat = this.chats.get(request.chat);
    const hadContext = [...(chat?.ranOn ?? [])].some(ran =>
      this.fleet.getEngine(ran).has(request.chat),
    );
    const times = engine.start(request);
    this.inFlight += 1;
    if (hadContext && !times.isWarm) this.tally.lost += 1;
    this.recordExcess(engine.inFlight);
    this.tally.recordFirstToken(nowMs - request.sentAtMs + times.firstTokenMs);
    this.queue.schedule(times.totalMs, () => this.finish(request, id));
    return true;
  }

  private finish(request: PlacedRequest, engine: string): void {
    this.fleet.getEngine(engine).finish(request);
    this.inFlight -= 1;
    const known = this.chats.get(request.chat);
    this.chats.set(request.chat, {
      ticket: makeTicket(request, engine, this.queue.getNowMs()),
      ranOn: (known?.ranOn ?? new Set()).add(engine),
    });
    this.way.finish(request, engine);
  }

  private recordExcess(inFlight: number): void {
    const excess = inFlight - this.computeMean() * this.rules.maxLoadMultiple;
    this.tally.maxExcessAtStart = Math.max(this.tally.maxExcessAtStart, excess);
  }

  private sample(): void {
    const group = this.fleet.getTrueGroup(this.queue.getNowMs());
    const loads = group.ids.map(id => this.fleet.getEngine(id).inFlight);
    const worst = Math.max(...loads);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    this.tally.recordSkew(worst, mean);
    const excess = worst - mean * this.rules.maxLoadMultiple;
    this.tally.maxExcessSampled = Math.max(this.tally.maxExcessSampled, excess);
  }

  private computeMean(): number {
    const group = this.fleet.getTrueGroup(this.queue.getNowMs());
    return this.inFlight / group.ids.length;
  }
}

function makeTicket(
  request: PlacedRequest,
  engine: string,
  nowMs: number,
): Ticket {
  const earlier = findEarlierEngine(request.ticket, engine);
  return {
    customer: String(request.customer),
    chat: String(request.chat),
    service: 'model',
    engine,
    contextTokens: Math.ceil(request.promptTokens + request.answerTokens),
    warmAtMs: nowMs,
    ...(earlier === undefined ? {} : {earlier}),
  };
}
