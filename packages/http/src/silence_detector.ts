import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** Number of checks for received bytes within one silence timeout. */
const CHECKS_PER_TIMEOUT = 4;

/**
 * Calls `onSilent` when no byte is received within the silence timeout.
 *
 * Until the reply head is complete, bytes do not count: a faulty server may
 * send a head or informational heads without end.
 *
 * Time during which the reader of the reply applies backpressure does not
 * count: no byte can arrive then, even if the other end is healthy.
 *
 * After the timeout `mayEnd` decides; while it returns false, it is asked again
 * at each further check.
 */
export class SilenceDetector {
  private readonly timer: NodeJS.Timeout;
  private reply: IncomingMessage | undefined;
  private lastBytesRead: number;
  private silentChecks = 0;

  constructor(
    clientRequest: ClientRequest,
    private readonly socket: Socket,
    silenceMs: number,
    private readonly onSilent: () => void,
    private readonly mayEnd: () => boolean = () => true,
  ) {
    this.lastBytesRead = socket.bytesRead;
    this.timer = setInterval(
      () => this.check(),
      silenceMs / CHECKS_PER_TIMEOUT,
    );
    clientRequest.once('response', reply => {
      this.reply = reply;
    });
    clientRequest.once('close', () => clearInterval(this.timer));
  }

  private check(): void {
    const bytesRead = this.socket.bytesRead;
    const isProgressing =
      this.reply !== undefined && bytesRead !== this.lastBytesRead;
    if (isProgressing || this.isBackpressured()) {
      this.lastBytesRead = bytesRead;
      this.silentChecks = 0;
      return;
    }
    this.silentChecks += 1;
    if (this.silentChecks < CHECKS_PER_TIMEOUT || !this.mayEnd()) return;
    clearInterval(this.timer);
    this.onSilent();
  }

  private isBackpressured(): boolean {
    const {reply} = this;
    if (reply === undefined) return false;
    return reply.readableFlowing !== true || reply.readableLength > 0;
  }
}
