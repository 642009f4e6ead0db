import {Effect, type Schema} from 'effect';
import {
  decodeDocument,
  SeededRandom,
  type Address,
} from '@greengagecross/common';
import {
  HeartbeatSchema,
  PeerRpc,
  PeerError,
  PeerMethod,
  ProbeSchema,
} from '@greengagecross/peers';
import type {MemberNode} from './member_node.js';

const ONE_WAY_MS = 1;
const TIMEOUT_MS = 400;
/** What JSON-RPC and HTTP add to a message, in bytes. */
const REQUEST_OVERHEAD_BYTES = 220;
const ANSWER_OVERHEAD_BYTES = 130;

/** Links between members of one process, in virtual time. */
export class VirtualLinks {
  /** How long a message takes, in milliseconds. */
  oneWayMs = ONE_WAY_MS;
  /** Share of messages that are lost, each way. */
  lossShare = 0;
  /** Returns whether messages from one member to another are dropped. */
  isCut: (from: string, to: string) => boolean = () => false;
  /** Members that neither send nor answer. */
  readonly frozen = new Set<string>();
  /** Ports of hosts that are lost with their network: nothing answers. */
  readonly lostPorts = new Set<number>();
  /** Bytes sent and received by all members, headers included. */
  bytes = 0;
  private readonly nodes = new Map<number, MemberNode>();
  private readonly random: SeededRandom;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
  }

  /** Connects a member at its port. */
  add(node: MemberNode): void {
    this.nodes.set(node.plan.control.port, node);
  }

  /** Makes the caller of one member. */
  makeCaller(from: string): PeerRpc {
    return new VirtualCaller(this, from);
  }

  /** Finds the member at an address if it runs. */
  find(address: Address): MemberNode | undefined {
    const node = this.nodes.get(address.port);
    return node?.isRunning() === true ? node : undefined;
  }

  /** Answers as a host on which nothing listens, or as one that is lost. */
  refuse(
    address: Address,
    method: PeerMethod,
  ): Effect.Effect<never, PeerError> {
    if (this.lostPorts.has(address.port)) return Effect.never;
    const cause = new Error('connect ECONNREFUSED');
    return Effect.fail(new PeerError(method, `${address.port}`, cause));
  }

  /** Counts a message as both ends' sockets do. */
  addMessage(body: unknown, overheadBytes: number): void {
    this.bytes += 2 * (JSON.stringify(body).length + overheadBytes);
  }

  /** Returns whether one message arrives. */
  isDelivered(from: string, to: string): boolean {
    if (this.frozen.has(from) || this.frozen.has(to)) return false;
    if (this.isCut(from, to)) return false;
    return this.lossShare === 0 || this.random.nextUnit() >= this.lossShare;
  }
}

/** Calls other members of the process. */
class VirtualCaller extends PeerRpc {
  constructor(
    private readonly links: VirtualLinks,
    private readonly from: string,
  ) {
    super();
  }

  override send<S extends Schema.ConstraintDecoder<unknown>>(
    address: Address,
    method: PeerMethod,
    params: object,
    result: S,
    timeoutMs = TIMEOUT_MS,
  ): Effect.Effect<S['Type'], PeerError> {
    const failed = new PeerError(method, `${address.port}`);
    return Effect.gen({self: this}, function* () {
      yield* Effect.sleep(this.links.oneWayMs);
      const node = this.links.find(address);
      if (node === undefined) return yield* this.links.refuse(address, method);
      const to = node.plan.id;
      this.links.addMessage(params, REQUEST_OVERHEAD_BYTES);
      if (!this.links.isDelivered(this.from, to)) return yield* Effect.never;
      const answer = yield* answerCall(node, method, params);
      this.links.addMessage(answer, ANSWER_OVERHEAD_BYTES);
      yield* Effect.sleep(this.links.oneWayMs);
      if (!this.links.isDelivered(to, this.from)) return yield* Effect.never;
      return decodeDocument(result, toMessage(answer), method);
    }).pipe(
      Effect.timeoutOrElse({
        duration: timeoutMs,
        orElse: () => Effect.fail(failed),
      }),
    );
  }
}

/** Answers as the daemon's control listener does. */
function answerCall(
  node: MemberNode,
  method: PeerMethod,
  params: object,
): Effect.Effect<unknown> {
  if (method === PeerMethod.PROBE) {
    const probe = decodeDocument(ProbeSchema, toMessage(params), method);
    return node.service.answerProbe(probe);
  }
  const heartbeat = decodeDocument(HeartbeatSchema, toMessage(params), method);
  return node.service.answerHeartbeat(heartbeat);
}

/** Copies as a message on a socket would. */
function toMessage(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}
