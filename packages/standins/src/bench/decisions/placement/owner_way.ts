import type {SeededRandom} from '@greengagecross/common';
import {
  Admission,
  LoadSnapshot,
  type PlacementChoice,
  type PlacementPolicy,
} from '@greengagecross/decisions';
import type {BenchFleet} from './bench_fleet.js';
import {
  PlacementWay,
  type PlacedRequest,
  type PlacementRun,
} from './placement_way.js';

const MESSAGES_PER_REMOTE_SLOT = 2;
const RETRY_MS = 250;
const MAX_RETRIES = 8;

interface HeldSlot {
  readonly request: PlacedRequest;
  readonly engine: string;
  readonly holder: number;
  owner: number;
}

interface Waiter {
  readonly request: PlacedRequest;
  readonly daemon: number;
  isWaiting: boolean;
}

/** One owner daemon per engine counts its slots; a policy orders engines. */
export class OwnerWay extends PlacementWay {
  private snapshot = new LoadSnapshot([]);
  private readonly held = new Map<number, HeldSlot>();
  private readonly waiters = new Map<string, Waiter[]>();

  constructor(
    private readonly fleet: BenchFleet,
    private readonly run: PlacementRun,
    private readonly random: SeededRandom,
    private readonly policy: PlacementPolicy,
  ) {
    super();
  }

  /** The directory names the owner of its first choice; that one decides. */
  override dispatch(request: PlacedRequest): void {
    const asked = this.random.nextInt(this.fleet.daemons.length);
    this.tryDecision(request, asked, 0);
  }

  private tryDecision(
    request: PlacedRequest,
    asked: number,
    tries: number,
  ): void {
    const [first] = this.listChoices(asked, request);
    const nowMs = this.run.getNowMs();
    const daemon =
      first === undefined
        ? asked
        : this.fleet.findOwner(asked, first.engine, nowMs);
    const choices = this.listChoices(daemon, request);
    this.tryChoices(request, daemon, choices, () => {
      if (tries >= MAX_RETRIES) this.run.refuse(request);
      else {
        this.run.schedule(RETRY_MS, () =>
          this.tryDecision(request, daemon, tries + 1),
        );
      }
    });
  }

  override finish(request: PlacedRequest, engine: string): void {
    const slot = this.held.get(request.id);
    if (slot === undefined) return;
    this.held.delete(request.id);
    this.getLedger(slot.owner).release(engine, String(request.id));
    this.startWaiter(engine);
  }

  override sendHeartbeats(): void {
    for (const engine of this.waiters.keys()) this.startWaiter(engine);
    for (const slot of this.held.values()) this.updateOwner(slot);
    this.snapshot = new LoadSnapshot(
      this.fleet.daemons.map(daemon => ({
        daemon: daemon.id,
        engines: daemon.ledger.listCounts(),
      })),
    );
  }

  private listChoices(
    daemon: number,
    request: PlacedRequest,
  ): PlacementChoice[] {
    const nowMs = this.run.getNowMs();
    const group = this.fleet.getGroup(daemon, nowMs);
    const {authority, availabilityZone} = this.getDaemon(daemon);
    const {ticket} = request;
    const chatKey = String(request.chat);
    return this.policy.choose(
      {chatKey, ticket, availabilityZone, nowMs},
      group,
      {
        count: engine => authority.countOverall(engine, this.snapshot),
        isOwnedLocally: engine =>
          this.fleet.findOwner(daemon, engine, nowMs) === daemon,
        bound: authority.computeBound(group, this.snapshot),
      },
    );
  }

  private tryChoices(
    request: PlacedRequest,
    daemon: number,
    choices: readonly PlacementChoice[],
    onRefused: () => void,
  ): void {
    const [choice, ...rest] = choices;
    if (choice === undefined) {
      onRefused();
      return;
    }
    const {engine, maxWaitMs} = choice;
    if (!this.hasWaiters(engine) && this.tryStart(request, daemon, engine)) {
      return;
    }
    if (maxWaitMs <= 0) {
      this.tryChoices(request, daemon, rest, onRefused);
      return;
    }
    const waiter: Waiter = {request, daemon, isWaiting: true};
    this.waiters.set(engine, [...(this.waiters.get(engine) ?? []), waiter]);
    this.run.schedule(maxWaitMs, () => {
      if (!waiter.isWaiting) return;
      waiter.isWaiting = false;
      this.tryChoices(request, daemon, rest, onRefused);
    });
  }

  private tryStart(
    request: PlacedRequest,
    holder: number,
    engine: string,
  ): boolean {
    const nowMs = this.run.getNowMs();
    const owner = this.fleet.findOwner(holder, engine, nowMs);
    const {authority, ledger} = this.getDaemon(owner);
    const group = this.fleet.getGroup(owner, nowMs);
    const slotId = String(request.id);
    const lease = {engine, slotId, holder: this.getDaemon(holder).id};
    if (owner !== holder) this.run.countMessages(MESSAGES_PER_REMOTE_SLOT);
    const answer = authority.acquire(lease, group, this.snapshot, nowMs);
    if (answer !== Admission.GRANTED) return false;
    if (!this.run.start(request, engine)) {
      ledger.release(engine, slotId);
      return false;
    }
    this.held.set(request.id, {request, engine, holder, owner});
    return true;
  }

  private hasWaiters(engine: string): boolean {
    return this.waiters.get(engine)?.some(w => w.isWaiting) === true;
  }

  private startWaiter(engine: string): void {
    const queue = this.waiters.get(engine)?.filter(w => w.isWaiting) ?? [];
    const [waiter, ...rest] = queue;
    if (waiter === undefined) {
      this.waiters.delete(engine);
      return;
    }
    this.waiters.set(engine, queue);
    if (!this.tryStart(waiter.request, waiter.daemon, engine)) return;
    waiter.isWaiting = false;
    this.waiters.set(engine, rest);
  }

  /** A holder renews its slot with whom it now takes for the owner. */
  private updateOwner(slot: HeldSlot): void {
    const nowMs = this.run.getNowMs();
    const {engine, holder, request} = slot;
    const owner = this.fleet.findOwner(holder, engine, nowMs);
    if (owner === slot.owner) return;
    const slotId = String(request.id);
    const lease = {engine, slotId, holder: this.getDaemon(holder).id};
    this.getLedger(owner).renew(lease, nowMs);
    this.getLedger(slot.owner).release(engine, slotId);
    slot.owner = owner;
    this.run.countMessages(MESSAGES_PER_REMOTE_SLOT);
  }

  private getLedger(daemon: number) {
    return this.getDaemon(daemon).ledger;
  }

  private getDaemon(daemon: number) {
    const found = this.fleet.daemons[daemon];
    if (found === undefined) throw new Error(`no daemon ${daemon}`);
    return found;
  }
}
