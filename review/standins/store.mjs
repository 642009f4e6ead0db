// Stand-in of the platform's store: rows, conditional writes and change feed.
import {createServer} from 'node:http';

const POLL_MS = 5;
const TRANSACTION_MS = 5;

export class Store {
  #revision = 0;
  #rows = new Map();
  #history = [];
  #server = createServer((request, response) =>
    this.#answer(request, response),
  );

  async start() {
    await new Promise(done => this.#server.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a row as the operator or a worker does; returns its revision. */
  put(table, key, value) {
    return this.putBytes(table, key, Buffer.from(JSON.stringify(value)));
  }

  /** Writes a row with any bytes, as another writer may do. */
  putBytes(table, key, bytes) {
    return this.#write(table, '', key, bytes.toString('base64'));
  }

  /** Removes a row; the feed reports the removal. */
  remove(table, key) {
    this.#revision += 1;
    if (!this.#rows.delete(`${table}\n\n${key}`)) return;
    this.#history.push({
      table,
      part: '',
      key,
      removed: true,
      row_version: this.#revision,
    });
  }

  #write(table, part, key, value) {
    this.#revision += 1;
    const row = {table, part, key, value, row_version: this.#revision};
    this.#rows.set(`${table}\n${part}\n${key}`, row);
    this.#history.push(row);
    return this.#revision;
  }

  async #answer(request, response) {
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const call = `${request.method} ${url.pathname}`;
    if (call === 'GET /rows-get') return this.#answerRows(response, query);
    if (call === 'GET /rows-feed') return this.#answerFeed(response, query);
    if (call === 'POST /rows-tx') return this.#answerWrite(request, response);
    return this.#send(response, 404, {});
  }

  #answerRows(response, query) {
    const from = query.get('start_key') ?? '';
    const rows = [...this.#rows.values()]
      .filter(row => row.table === query.get('table'))
      .filter(row => row.part === (query.get('part') ?? ''))
      .filter(row => row.key >= from)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = rows.slice(0, Number(query.get('limit') ?? 500));
    const truncated = page.length < rows.length;
    this.#send(response, 200, {rows: page, truncated});
  }

  async #answerFeed(response, query) {
    const after = Number(query.get('after_rev'));
    const endMs = performance.now() + Number(query.get('wait_ms'));
    for (;;) {
      if (response.destroyed) return;
      const rows = this.#history.filter(
        row => row.table === query.get('table') && row.row_version > after,
      );
      if (rows.length > 0 || performance.now() >= endMs) {
        this.#send(response, 200, {rows});
        return;
      }
      await sleep(POLL_MS);
    }
  }

  async #answerWrite(request, response) {
    let text = '';
    for await (const chunk of request) text += chunk;
    const {
      expected_rev: expected = [],
      writes = [],
      remove = [],
    } = JSON.parse(text);
    await sleep(TRANSACTION_MS);
    const current = expected.map(({table, part, key}) =>
      this.#rows.get(`${table}\n${part}\n${key}`),
    );
    const isAsExpected = expected.every(
      ({row_version: version}, at) =>
        (current[at]?.row_version ?? 0) === version,
    );
    if (!isAsExpected) {
      this.#send(response, 412, {rows: current.filter(Boolean)});
      return;
    }
    for (const {table, part, key, value} of writes) {
      this.#write(table, part, key, value);
    }
    for (const {table, key} of remove) this.remove(table, key);
    this.#send(response, 200, {});
  }

  #send(response, status, value) {
    response.writeHead(status, {'content-type': 'application/json'});
    const row_version = this.#revision;
    const now_ms = Math.round(performance.now());
    response.end(JSON.stringify({...value, row_version, now_ms}));
  }
}

function sleep(ms) {
  return new Promise(done => setTimeout(done, ms));
}
