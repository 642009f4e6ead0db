import {connect} from 'node:net';
import {Effect} from 'effect';
import type {Address} from '@greengagecross/common';

/** What a new connection to an address shows of its process. */
export enum ListenerState {
  /** The connection was accepted and stayed open. */
  UP = 'up',
  /** The connection was refused: the process has ended. */
  REFUSED = 'refused',
  /**
   * The connection was accepted and closed at once: the process has ended, or
   * only a listener of another process is there, such as a load balancer's.
   */
  CLOSED = 'closed',
  /** No answer came in time, which a broken path explains as well. */
  UNKNOWN = 'unknown',
}

/** The listener of a process that ends may outlive its connections briefly. */
const HOLD_MS = 100;

/** Opens a connection to an address and closes it again. */
export function checkListener(
  {host, port}: Address,
  timeoutMs: number,
): Effect.Effect<ListenerState> {
  return Effect.callback(resume => {
    const socket = connect({host, port});
    let isAccepted = false;
    const end = (state: ListenerState): void => {
      clearTimeout(timer);
      resume(Effect.succeed(state));
      socket.destroy();
    };
    let timer = setTimeout(() => end(ListenerState.UNKNOWN), timeoutMs);
    socket.once('connect', () => {
      isAccepted = true;
      clearTimeout(timer);
      timer = setTimeout(() => end(ListenerState.UP), HOLD_MS);
    });
    socket.once('error', (error: NodeJS.ErrnoException) => {
      if (isAccepted) end(ListenerState.CLOSED);
      else if (error.code === 'ECONNREFUSED') end(ListenerState.REFUSED);
      else end(ListenerState.UNKNOWN);
    });
    // Node reports that the other end closed only while the socket is read.
    socket.resume();
    socket.once('close', () =>
      end(isAccepted ? ListenerState.CLOSED : ListenerState.UNKNOWN),
    );
    return Effect.sync(() => {
      clearTimeout(timer);
      socket.destroy();
    });
  });
}
