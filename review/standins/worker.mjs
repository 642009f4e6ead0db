// Stand-in of a worker. A worker ends abruptly like a killed process: its
// listener and its connections are closed. It is back some seconds later as a
// new incarnation with a new id on the same address.
import {createServer} from 'node:http';

const HEARTBEAT_MS = 1200;
/** An entry is removed after three heartbeat intervals of silence. */
const EXPIRY_MS = 3 * HEARTBEAT_MS;
const SEAL = '3e1b.07.5a2.600.0.c9f2a4d1';
let nextNumber = 1;

export class Worker {
  crashes = 0;
  #server;
  #sockets = new Set();
  #port = 0;
  #isStopped = false;
  #running = 0;

  /**
   * @param options store; service; zone; slots; backAfterMs: time from a crash
   *     to the next incarnation; runMs: time of one run; events: number of events
   *     of a stream; eventMs: time between events; isDeadly: whether a request
   *     crashes the worker that begins to run it; crashesAfterEvent: whether that
   *     comes after the first event of its answer; writeStream: writes an answer
   *     in place of the usual one
   * @param record called with each arrival, run, end of a run, crash and start
   */
  constructor(options, record) {
    this.options = {runMs: 20, events: 4, eventMs: 20, ...options};
    this.record = record;
  }

  async start() {
    nextNumber += 1;
    this.id = `i-${(nextNumber * 2654435761).toString(16).slice(0, 10)}`;
    this.born = Date.now();
    this.#running = 0;
    this.#server = createServer((request, response) =>
      this.#answer(request, response).catch(() => response.destroy()),
    );
    this.#server.on('connection', socket => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    await new Promise((done, fail) => {
      this.#server.once('error', fail);
      this.#server.listen(this.#port, '127.0.0.1', done);
    });
    this.#port = this.#server.address().port;
    this.address = `127.0.0.1:${this.#port}`;
    this.isUp = true;
    this.options.store.put('servers', this.id, {
      service: this.options.service,
      address: this.address,
      zone: this.options.zone,
      version: 'v1',
      slots: this.options.slots,
      state: 'ready',
      cold_left_ms: 0,
      call_seq: 0,
      born: this.born,
    });
    this.record('start', {worker: this.id, address: this.address});
  }

  stop() {
    this.#isStopped = true;
    this.#close();
  }

  /** Ends like a killed process; another incarnation starts later. */
  crash(cause) {
    if (!this.isUp) return;
    const {id} = this;
    const lost = this.#running - 1;
    this.crashes += 1;
    this.record('crash', {worker: id, cause, otherRuns: lost});
    this.#close();
    setTimeout(() => this.options.store.remove('servers', id), EXPIRY_MS);
    setTimeout(() => {
      if (!this.#isStopped) void this.start();
    }, this.options.backAfterMs);
  }

  #close() {
    this.isUp = false;
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  async #answer(request, response) {
    const {headers, method, url} = request;
    const id = headers['x-greengagecross-attempt-id'];
    const expected = headers['x-greengagecross-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      request.resume();
      response.writeHead(421, {'x-greengagecross-instance-id': this.id}).end();
      return;
    }
    let body = '';
    for await (const chunk of request) body += chunk;
    const call = {id, method, url, body, headers, engine: this.id};
    const {runMs, slots, isDeadly, crashesAfterEvent} = this.options;
    this.record('arrival', {worker: this.id, id, url});
    const echo = {'x-greengagecross-attempt-id': id};
    if (this.#running >= 2 * slots) {
      const refusal = {...echo, 'x-greengagecross-not-executed': '1'};
      response.writeHead(503, refusal).end();
      return;
    }
    this.#running += 1;
    this.record('run', {worker: this.id, id, url});
    response.once('close', () => {
      this.#running -= 1;
      const isWhole = response.writableFinished;
      this.record('run-end', {worker: this.id, id, isWhole});
    });
    await sleep(runMs);
    if (response.destroyed) return;
    const isCrashing = isDeadly?.(call) === true;
    if (isCrashing && !crashesAfterEvent) {
      this.crash(id);
      return;
    }
    const own = {...echo, 'x-greengagecross-response-seal': SEAL};
    if (headers['x-greengagecross-prompt-prefix'] === undefined) {
      const text = `answer to ${id}`;
      response.writeHead(200, {...own, 'content-length': text.length});
      response.end(text);
      return;
    }
    if (isCrashing) {
      response.writeHead(200, {...own, 'content-type': 'text/event-stream'});
      response.write('id: 1\ndata: piece 1\n\n');
      await sleep(this.options.eventMs);
      this.crash(id);
      return;
    }
    const {writeStream} = this.options;
    if (writeStream === undefined) await this.#writeEvents(call, response, own);
    else await writeStream(call, response, own);
  }

  async #writeEvents({headers}, response, own) {
    const {events, eventMs} = this.options;
    response.writeHead(200, {...own, 'content-type': 'text/event-stream'});
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    for (let event = first; event <= events; event += 1) {
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: piece ${event} of ${events}\n\n`);
      await sleep(eventMs);
    }
    response.end();
  }
}

function sleep(ms) {
  return new Promise(done => setTimeout(done, ms));
}
