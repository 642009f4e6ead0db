import {Effect, Exit, Scope} from 'effect';
import {HttpClient, HttpServer} from '@greengagecross/http';
import {
  HeartbeatSchema,
  PeerClient,
  PeerMethod,
  PeerServer,
  ProbeSchema,
  type PeerRpc,
} from '@greengagecross/peers';
import type {HostListSource} from '@greengagecross/platform';
import {MemberNode, type NodePlan} from './member_node.js';

const PEER_KEY = 'peer-key-of-thirty-two-characters';
const TIMEOUT_MS = 400;
const KEEP_ALIVE_MS = 15_000;

/** A member with its real listener and connections on this machine. */
export class LoopbackNode {
  readonly node: MemberNode;
  private readonly client = new HttpClient();
  private readonly server: HttpServer;
  private readonly scope = Effect.runSync(Scope.make());

  /** @param wrap what stands between this member and its connections */
  constructor(
    readonly plan: NodePlan,
    directory: HostListSource,
    wrap: (caller: PeerRpc) => PeerRpc = caller => caller,
  ) {
    const caller = new PeerClient(this.client, PEER_KEY, TIMEOUT_MS);
    this.node = new MemberNode(plan, directory, wrap(caller));
    const peers = this.makePeerServer();
    const options = {
      address: plan.control,
      keepAliveMs: KEEP_ALIVE_MS,
      headersTimeoutMs: KEEP_ALIVE_MS,
      requestTimeoutMs: KEEP_ALIVE_MS,
    };
    this.server = new HttpServer(options, exchange => peers.handle(exchange));
  }

  /** Listens and exchanges heartbeats until it is stopped. */
  async start(): Promise<void> {
    const listening = Scope.provide(this.server.start(), this.scope);
    await Effect.runPromise(listening);
    await Effect.runPromise(this.node.start());
  }

  /** Ends its fibers and connections at once. */
  async stop(): Promise<void> {
    await Effect.runPromise(this.node.stop());
    await Effect.runPromise(Scope.close(this.scope, Exit.void));
    this.client.close();
  }

  /** Counts the bytes on its sockets, headers included. */
  countBytes(): number {
    return this.server.bytes.count() + this.client.pool.bytes.count();
  }

  private makePeerServer(): PeerServer {
    const {service} = this.node;
    const peers = new PeerServer([PEER_KEY]);
    peers.addMethod(PeerMethod.HEARTBEAT, HeartbeatSchema, heartbeat =>
      service.answerHeartbeat(heartbeat),
    );
    peers.addMethod(PeerMethod.PROBE, ProbeSchema, probe =>
      service.answerProbe(probe),
    );
    return peers;
  }
}
