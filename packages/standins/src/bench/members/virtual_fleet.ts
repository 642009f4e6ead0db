import {Effect} from 'effect';
import {TestClock} from 'effect/testing';
import type {Address} from '@greengagecross/common';
import {MemberNode, type NodePlan} from './member_node.js';
import {ShownHosts} from './shown_hosts.js';
import {VirtualLinks} from './virtual_links.js';

const HOST = '127.0.0.1';
const FIRST_PORT = 1000;
const STEP_MS = 100;
const ZONES = 4;

/** A fleet's membership in virtual time; its views are sampled as it runs. */
export class VirtualFleet {
  readonly hosts = new ShownHosts();
  readonly links: VirtualLinks;
  readonly nodes: MemberNode[] = [];
  /** Times that a member was dropped by one that it could exchange with. */
  falseSuspicions = 0;
  /** Members that are meant to be seen as gone. */
  readonly expectedGone = new Set<string>();
  private nextPort = FIRST_PORT;
  private nowMs = 0;
  private lastViews = new Map<string, ReadonlySet<string>>();

  constructor(seed: number) {
    this.links = new VirtualLinks(seed);
  }

  /** Plans a member at a port of its own. */
  makePlan(id: string, seeds: readonly Address[] = []): NodePlan {
    this.nextPort += 1;
    const index = this.nextPort - FIRST_PORT;
    return {
      id,
      zone: `zone-${index % ZONES}`,
      control: {host: HOST, port: this.nextPort},
      incarnation: this.nowMs + 1,
      seeds,
    };
  }

  /** Starts a member. */
  start(plan: NodePlan): Effect.Effect<MemberNode> {
    const caller = this.links.makeCaller(plan.id);
    const node = new MemberNode(plan, this.hosts, caller);
    this.links.add(node);
    this.nodes.push(node);
    return Effect.as(node.start(), node);
  }

  /** Starts members `entry-1`… that the host list shows, until all agree. */
  startAll(count: number): Effect.Effect<number> {
    return Effect.gen({self: this}, function* () {
      const plans = Array.from({length: count}, (unused, index) =>
        this.makePlan(`entry-${index + 1}`),
      );
      this.hosts.setPlans(plans);
      for (const plan of plans) yield* this.start(plan);
      return yield* this.waitUntil(60_000, () => this.isWhole());
    });
  }

  /** Starts members that know each other already. */
  startKnown(count: number): Effect.Effect<number> {
    return Effect.gen({self: this}, function* () {
      const plans = Array.from({length: count}, (unused, index) =>
        this.makePlan(`entry-${index + 1}`),
      );
      this.hosts.setPlans(plans);
      for (const plan of plans) yield* this.start(plan);
      const members = this.nodes.map(({service}) => service.getSelf());
      for (const node of this.nodes) node.addKnown(members, this.nowMs);
      return yield* this.waitUntil(60_000, () => this.isWhole());
    });
  }

  /** Ends a member at once, as a kill does. */
  stopNode(node: MemberNode): Effect.Effect<void> {
    this.expectedGone.add(node.plan.id);
    this.nodes.splice(this.nodes.indexOf(node), 1);
    return node.stop();
  }

  /** Starts a killed member's next run. */
  startAgain(node: MemberNode): Effect.Effect<MemberNode> {
    this.expectedGone.delete(node.plan.id);
    return this.start({...node.plan, incarnation: this.nowMs + 1});
  }

  /** Ends every member. */
  stopAll(): Effect.Effect<void> {
    return Effect.forEach(this.nodes, node => node.stop(), {discard: true});
  }

  /** Lets time pass. */
  wait(durationMs: number): Effect.Effect<void> {
    return Effect.asVoid(this.waitUntil(durationMs, () => false));
  }

  /** Waits until a condition holds; returns the time that took. */
  waitUntil(limitMs: number, isMet: () => boolean): Effect.Effect<number> {
    return Effect.gen({self: this}, function* () {
      const startMs = this.nowMs;
      while (!isMet() && this.nowMs - startMs < limitMs) {
        yield* TestClock.adjust(STEP_MS);
        this.nowMs += STEP_MS;
        this.sample();
      }
      return this.nowMs - startMs;
    });
  }

  /** Returns whether every running member takes all of them for live. */
  isWhole(among: readonly MemberNode[] = this.nodes): boolean {
    return among.every(node => {
      const live = node.listLive(this.nowMs);
      return (
        live.size === among.length && among.every(n => live.has(n.plan.id))
      );
    });
  }

  /** Returns whether no other member takes this one for live. */
  isGone(id: string): boolean {
    return this.nodes.every(
      node => node.plan.id === id || !node.listLive(this.nowMs).has(id),
    );
  }

  private sample(): void {
    const views = new Map<string, ReadonlySet<string>>();
    for (const node of this.nodes) {
      const {id} = node.plan;
      const live = node.listLive(this.nowMs);
      views.set(id, live);
      for (const lost of this.lastViews.get(id) ?? []) {
        if (!live.has(lost) && this.isExpectedLive(id, lost)) {
          this.falseSuspicions += 1;
        }
      }
    }
    this.lastViews = views;
  }

  private isExpectedLive(observer: string, id: string): boolean {
    if (observer === id || this.expectedGone.has(id)) return false;
    if (this.expectedGone.has(observer)) return false;
    const {isCut} = this.links;
    return !(isCut(observer, id) && isCut(id, observer));
  }
}
