import type {Effect, Schema} from 'effect';
import {formatAddress, type Address} from '@greengagecross/common';
import {PeerRpc, type PeerError, type PeerMethod} from '@greengagecross/peers';

/** Reaches some daemons through a relay. */
export class RedirectedCaller extends PeerRpc {
  /** @param relays relays by the address that they stand for */
  constructor(
    private readonly caller: PeerRpc,
    private readonly relays: ReadonlyMap<string, Address>,
  ) {
    super();
  }

  override send<S extends Schema.ConstraintDecoder<unknown>>(
    address: Address,
    method: PeerMethod,
    params: object,
    result: S,
    timeoutMs?: number,
  ): Effect.Effect<S['Type'], PeerError> {
    const relay = this.relays.get(formatAddress(address));
    return this.caller.send(
      relay ?? address,
      method,
      params,
      result,
      timeoutMs,
    );
  }
}
