import {Effect} from 'effect';
import {TestClock} from 'effect/testing';
import {MemberState} from '@greengagecross/common';
import type {MemberNode} from './member_node.js';
import {VirtualFleet} from './virtual_fleet.js';

const LIMIT_MS = 60_000;
const STEP_MS = 500;
const IDLE_MS = 10_000;
const FAULT_MS = 10_000;
const RACK = 10;
/** A larger fleet begins with members that know each other. */
const LARGEST_START = 120;
const ZONES = 6;
const REVISION = 7;
const MS_PER_SECOND = 1000;

/** One figure of a fleet's course. */
export interface CourseFigure {
  readonly measure: string;
  readonly value: number;
  readonly unit: string;
}

/** Takes one fleet through rest, news and losses, in virtual time. */
export class FleetCourse {
  private readonly fleet: VirtualFleet;
  private changes = 0;

  /** @param print takes each figure as soon as it is known */
  constructor(
    private readonly size: number,
    seed: number,
    private readonly print: (figure: CourseFigure) => void,
  ) {
    this.fleet = new VirtualFleet(seed);
  }

  /** Runs the course to its end. */
  run(): Promise<void> {
    const program = Effect.gen({self: this}, function* () {
      const {fleet, size} = this;
      if (size > LARGEST_START) {
        yield* fleet.startKnown(size);
      } else {
        const wholeMs = yield* fleet.startAll(size);
        this.printTime('start:until_whole', wholeMs);
      }
      yield* fleet.wait(IDLE_MS);
      yield* this.runIdle();
      yield* this.runRevision();
      yield* this.runLeaving();
      yield* this.runFreeze();
      yield* this.runLoss('kill', this.take(1), false);
      if (size > 2 * RACK) {
        yield* this.runLoss('rack', this.take(RACK), true);
      }
      const zone = Math.floor(size / ZONES);
      if (zone > 0) yield* this.runLoss('zone', this.take(zone), true);
      yield* this.runParted();
      yield* fleet.stopAll();
    });
    return Effect.runPromise(
      Effect.provide(Effect.scoped(program), TestClock.layer()),
    );
  }

  private runIdle(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const {bytes} = this.fleet.links;
      const startMs = performance.now();
      yield* this.waitChanging(IDLE_MS);
      const usedMs = performance.now() - startMs;
      const spent = this.fleet.links.bytes - bytes;
      this.printBytes('idle:control_bytes', spent, IDLE_MS);
      const cores = usedMs / IDLE_MS / this.size;
      this.print({
        measure: 'idle:processor',
        value: cores,
        unit: 'cores/daemon',
      });
    });
  }

  /** Lets time pass while every daemon's load changes. */
  private waitChanging(durationMs: number): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      for (let ms = 0; ms < durationMs; ms += STEP_MS) {
        this.changes += 1;
        for (const node of this.fleet.nodes) {
          const engine = `engine-of-${node.plan.id}`;
          const engines = [0, 1].map(index => ({
            engine: `${engine}-${index}`,
            inFlight: this.changes,
          }));
          node.report = {...node.report, engines};
        }
        yield* this.fleet.wait(STEP_MS);
      }
    });
  }

  private runRevision(): Effect.Effect<void> {
    const {fleet} = this;
    return Effect.gen({self: this}, function* () {
      const [first] = fleet.nodes;
      if (first === undefined) return;
      first.report = {...first.report, configurationRevision: REVISION};
      const takenMs = yield* fleet.waitUntil(LIMIT_MS, () =>
        fleet.nodes.every(
          ({service}) => service.getHighestRevision() === REVISION,
        ),
      );
      this.printTime('revision:until_known', takenMs);
    });
  }

  private runLeaving(): Effect.Effect<void> {
    const {fleet} = this;
    return Effect.gen({self: this}, function* () {
      const [leaving] = this.take(1);
      if (leaving === undefined) return;
      const {id} = leaving.plan;
      fleet.expectedGone.add(id);
      leaving.service.setLeaving();
      const goneMs = yield* fleet.waitUntil(LIMIT_MS, () => fleet.isGone(id));
      this.printTime('leaving:until_gone', goneMs);
      const isLeaving = leaving.service.getState() === MemberState.LEAVING;
      if (isLeaving) yield* fleet.stopNode(leaving);
      yield* fleet.waitUntil(LIMIT_MS, () => fleet.isWhole());
    });
  }

  private runFreeze(): Effect.Effect<void> {
    const {fleet} = this;
    return Effect.gen({self: this}, function* () {
      const [frozen] = this.take(1);
      if (frozen === undefined) return;
      const {id} = frozen.plan;
      fleet.expectedGone.add(id);
      fleet.links.frozen.add(id);
      const goneMs = yield* fleet.waitUntil(LIMIT_MS, () => fleet.isGone(id));
      this.printTime('freeze:until_gone', goneMs);
      fleet.links.frozen.delete(id);
      const wholeMs = yield* fleet.waitUntil(LIMIT_MS, () => fleet.isWhole());
      fleet.expectedGone.delete(id);
      this.printTime('freeze:until_whole', wholeMs);
    });
  }

  /** @param isSilent whether their hosts are lost too and refuse nothing */
  private runLoss(
    name: string,
    lost: readonly MemberNode[],
    isSilent: boolean,
  ): Effect.Effect<void> {
    const {fleet} = this;
    return Effect.gen({self: this}, function* () {
      const falseBefore = fleet.falseSuspicions;
      const {bytes} = fleet.links;
      for (const node of lost) {
        if (isSilent) fleet.links.lostPorts.add(node.plan.control.port);
        yield* fleet.stopNode(node);
      }
      const goneMs = yield* fleet.waitUntil(LIMIT_MS, () => fleet.isWhole());
      this.printTime(`${name}:until_gone`, goneMs);
      yield* fleet.wait(FAULT_MS);
      const spent = fleet.links.bytes - bytes;
      this.printBytes(`${name}:control_bytes`, spent, goneMs + FAULT_MS);
      this.printFalse(name, falseBefore);
    });
  }

  private runParted(): Effect.Effect<void> {
    const {fleet} = this;
    return Effect.gen({self: this}, function* () {
      const falseBefore = fleet.falseSuspicions;
      const {bytes} = fleet.links;
      const half = Math.ceil(fleet.nodes.length / 2);
      const parts = [fleet.nodes.slice(0, half), fleet.nodes.slice(half)];
      const ids = new Set(parts[0]?.map(node => node.plan.id));
      fleet.links.isCut = (a, b) => ids.has(a) !== ids.has(b);
      const goneMs = yield* fleet.waitUntil(LIMIT_MS, () =>
        parts.every(part => fleet.isWhole(part)),
      );
      yield* fleet.wait(FAULT_MS);
      fleet.links.isCut = () => false;
      const wholeMs = yield* fleet.waitUntil(LIMIT_MS, () => fleet.isWhole());
      this.printTime('parted:until_gone', goneMs);
      this.printTime('parted:until_whole', wholeMs);
      const spent = fleet.links.bytes - bytes;
      const spentMs = goneMs + FAULT_MS + wholeMs;
      this.printBytes('parted:control_bytes', spent, spentMs);
      this.printFalse('parted', falseBefore);
    });
  }

  /** Takes daemons from the middle of the fleet. */
  private take(count: number): MemberNode[] {
    const start = Math.floor((this.fleet.nodes.length - count) / 2);
    return this.fleet.nodes.slice(start, start + count);
  }

  private printTime(measure: string, value: number): void {
    this.print({measure, value, unit: 'ms'});
  }

  private printBytes(measure: string, bytes: number, durationMs: number): void {
    const daemons = this.fleet.nodes.length;
    const value = (bytes * MS_PER_SECOND) / durationMs / daemons;
    this.print({measure, value, unit: 'bytes/s/daemon'});
  }

  private printFalse(name: string, before: number): void {
    const value = this.fleet.falseSuspicions - before;
    this.print({measure: `${name}:false_suspicions`, value, unit: 'count'});
  }
}
