// Stand-in of a sound worker: plain answers, and event streams for prompts.
import {createServer} from 'node:http';

const SEAL = '3e1b.07.5a2.600.0.c9f2a4d1';

export class Worker {
  /** Ids of the requests that were run, with their count. */
  runs = new Map();
  runCount = 0;
  /** Time that a request takes, in milliseconds. */
  workMs = 2;
  events = 2;

  constructor(id) {
    this.id = id;
  }

  async start(host = '127.0.0.1') {
    this.server = createServer((request, response) => {
      void this.#handle(request, response);
    });
    this.server.keepAliveTimeout = 30_000;
    await new Promise(resolve => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
    return this.address;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  async #handle(request, response) {
    const {headers} = request;
    const id = headers['x-greengagecross-attempt-id'];
    const named = {
      ...(id === undefined ? {} : {'x-greengagecross-attempt-id': id}),
    };
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    if (request.url === '/health') {
      response.writeHead(200, {'x-greengagecross-instance-id': this.id}).end();
      return;
    }
    const expected = headers['x-greengagecross-expect-instance'] ?? this.id;
    if (expected !== this.id) {
      response.writeHead(421, {...named, 'x-greengagecross-not-executed': '1'});
      response.end();
      return;
    }
    if (id === undefined) {
      response.writeHead(400, {'x-greengagecross-not-executed': '1'}).end();
      return;
    }
    this.runCount += 1;
    if (this.keepsRuns) this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    const sealed = {...named, 'x-greengagecross-response-seal': SEAL};
    await new Promise(resolve => setTimeout(resolve, this.workMs));
    if (response.destroyed) return;
    if (!('x-greengagecross-prompt-prefix' in headers)) {
      response.writeHead(200, sealed).end(`done by ${this.id}`);
      return;
    }
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    response.writeHead(200, {...sealed, 'content-type': 'text/event-stream'});
    for (let event = first; event <= this.events; event += 1) {
      response.write(`id: ${event}\ndata: token\n\n`);
    }
    response.end();
  }
}
