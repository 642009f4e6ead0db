// A faulty worker answers with status 101, which no requester asked for. The
// requester must not get that in place of an answer.
import {connect, createServer} from 'node:net';
import {fileURLToPath} from 'node:url';
import {
  Daemon,
  makeDesiredState,
  makeEntry,
  makeHeaders,
  Record,
  waitMs,
} from '../../standins-2/fleet.mjs';
import {Store} from '../../standins-2/store.mjs';

const record = new Record(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
const status = process.env.TROUBLE === '0' ? '200 OK' : '101 Any';
const worker = createServer(socket => {
  socket.on('error', () => undefined);
  socket.on('data', bytes => {
    const id = /attempt-id: (.*)\r/i.exec(bytes)?.[1];
    socket.write(
      `HTTP/1.1 ${status}\r\nX-Greengagecross-Attempt-Id: ${id}\r\n` +
        'X-Greengagecross-Response-Seal: s\r\nContent-Length: 5\r\n\r\nhello',
    );
  });
});
await new Promise(resolve => worker.listen(0, '127.0.0.1', resolve));
const store = new Store();
let daemon;
let code = 2;
try {
  const address = await store.start();
  const entry = makeEntry('app', `127.0.0.1:${worker.address().port}`);
  store.put('servers', 'i-1', entry);
  store.put('op', 'config', makeDesiredState(7, {app: 'unsafe'}));
  daemon = await Daemon.start(address);
  await daemon.waitInTouch();
  const socket = connect(daemon.ports.front, daemon.host);
  let received = '';
  socket.on('data', bytes => (received += bytes));
  const headers = Object.entries(makeHeaders('a1'));
  const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`);
  socket.write(
    `POST /app/x HTTP/1.1\r\n${lines.join('')}Content-Length: 0\r\n\r\n`,
  );
  await waitMs(3000);
  socket.destroy();
  record.write(`the requester received ${JSON.stringify(received)}`);
  code = received.startsWith('HTTP/1.1 101') ? 1 : 0;
} catch (error) {
  record.write(`could not run: ${error.stack}`);
} finally {
  await daemon?.stop();
  store.stop();
  worker.close();
}
record.write(`exit ${code}`);
process.exit(code);
