import type {HttpExchange} from './http_exchange.js';

/** Received requests of one connection whose replies are not complete, in order. */
export class PendingRequests {
  private readonly pending: HttpExchange[] = [];
  /** Those of them that are not handled yet. */
  private readonly unstarted: HttpExchange[] = [];
  /** Names and values of the headers of all of them. */
  private headerStrings = 0;

  /** Adds a request whose headers were received. */
  add(exchange: HttpExchange): void {
    this.pending.push(exchange);
    this.unstarted.push(exchange);
    this.headerStrings += exchange.request.rawHeaders.length;
  }

  /** Counts the requests. */
  count(): number {
    return this.pending.length;
  }

  /** Counts the names and values of the headers of all requests. */
  countHeaderStrings(): number {
    return this.headerStrings;
  }

  /** Counts the memory that the requests take, about, in bytes. */
  countHeldBytes(): number {
    return this.pending.reduce(
      (sum, exchange) => sum + exchange.countHeldBytes(),
      0,
    );
  }

  /** Takes the request that is handled next; undefined while one is handled. */
  takeNext(): HttpExchange | undefined {
    const [next] = this.unstarted;
    if (next === undefined || next !== this.pending[0]) return undefined;
    return this.unstarted.shift();
  }

  /** Removes the first request, whose reply is complete. */
  removeFirst(): void {
    const finished = this.pending.shift();
    this.headerStrings -= finished?.request.rawHeaders.length ?? 0;
  }
}
