import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** How often within the silence limit the bytes are looked at. */
const CHECKS_PER_LIMIT = 4;

/**
 * Watches one exchange for silence of the other end.
 *
 * Time in which the reply's reader holds the stream back does not count: no
 * byte can arrive then, however healthy the other end is.
 */
export class SilenceWatch {
  private readonly timer: NodeJS.Timeout;
  private reply: IncomingMessage | undefined;
  private lastBytes: number;
  private quietChecks = 0;

  constructor(
    sending: ClientRequest,
    private readonly socket: Socket,
    silenceMs: number,
    private readonly onSilent: () => void,
  ) {
    this.lastBytes = socket.bytesRead;
    this.timer = setInterval(() => this.check(), silenceMs / CHECKS_PER_LIMIT);
    sending.once('response', reply => {
      this.reply = reply;
    });
    sending.once('close', () => clearInterval(this.timer));
  }

  private check(): void {
    const bytes = this.socket.bytesRead;
    if (bytes !== this.lastBytes || this.isHeldBack()) {
      this.lastBytes = bytes;
      this.quietChecks = 0;
      return;
    }
    this.quietChecks += 1;
    if (this.quietChecks < CHECKS_PER_LIMIT) return;
    clearInterval(this.timer);
    this.onSilent();
  }

  private isHeldBack(): boolean {
    const {reply} = this;
    if (reply === undefined) return false;
    return reply.readableFlowing !== true || reply.readableLength > 0;
  }
}
