// Stand-in of the platform's store: tables of rows with a change feed.
import {createServer} from 'node:http';

const POLL_MS = 10;

export class Store {
  rows = new Map();
  history = [];
  revision = 0;
  /** Whether calls are answered; without, connections are reset. */
  isUp = true;

  async start(host = '127.0.0.1') {
    this.server = createServer((request, response) => {
      void this.#answer(request, response);
    });
    await new Promise(resolve => this.server.listen(0, host, resolve));
    return `${host}:${this.server.address().port}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a row as the operator or a worker does. */
  put(table, key, value) {
    const bytes = Buffer.from(JSON.stringify(value));
    this.#putRow({table, part: '', key, value: bytes.toString('base64')});
  }

  /** Removes a row. */
  remove(table, key) {
    this.revision += 1;
    this.rows.delete(`${table}/${key}`);
    this.history.push({
      table,
      part: '',
      key,
      value: '',
      row_version: this.revision,
      removed: true,
    });
  }

  #putRow(row) {
    this.revision += 1;
    const stored = {...row, row_version: this.revision};
    this.rows.set(`${row.table}/${row.key}`, stored);
    this.history.push(stored);
  }

  async #answer(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (!this.isUp) {
      request.socket.resetAndDestroy();
      return;
    }
    const url = new URL(request.url, 'http://store');
    const table = url.searchParams.get('table');
    if (url.pathname === '/rows-get') {
      const start = url.searchParams.get('start_key') ?? '';
      const rows = [...this.rows.values()]
        .filter(row => row.table === table && row.key >= start)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      this.#send(response, 200, {rows, truncated: false});
    } else if (url.pathname === '/rows-feed') {
      await this.#feed(response, table, url.searchParams);
    } else if (url.pathname === '/rows-tx') {
      const {writes} = JSON.parse(Buffer.concat(chunks).toString());
      for (const row of writes) this.#putRow(row);
      this.#send(response, 200, {});
    } else {
      this.#send(response, 404, {});
    }
  }

  async #feed(response, table, query) {
    const after = Number(query.get('after_rev'));
    const endMs = performance.now() + Number(query.get('wait_ms'));
    for (;;) {
      if (!this.isUp || response.destroyed) {
        response.destroy();
        return;
      }
      const rows = this.history.filter(
        row => row.table === table && row.row_version > after,
      );
      if (rows.length > 0 || performance.now() >= endMs) {
        this.#send(response, 200, {rows});
        return;
      }
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }

  #send(response, status, body) {
    if (response.destroyed) return;
    response.writeHead(status, {'content-type': 'application/json'});
    const now = Math.round(performance.now());
    response.end(
      JSON.stringify({...body, row_version: this.revision, now_ms: now}),
    );
  }
}
