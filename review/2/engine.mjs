// A faulty engine in a process of its own: the body of each answer has no end.
// It writes one byte after the other, each as a chunk, until the caller closes;
// no line ends, so that no event is ever complete.
import {createServer} from 'node:http';

const [id, isFaulty] = [process.argv[2], process.argv[3] === 'faulty'];
const INTERVAL_MS = 10;
const BYTES_PER_INTERVAL = 500;
const server = createServer((request, response) => {
  request.resume();
  const {headers} = request;
  const expected = headers['x-greengagecross-expect-instance'];
  if (expected !== undefined && expected !== id) {
    response.writeHead(421, {'x-greengagecross-instance-id': id}).end();
    return;
  }
  const attempt = headers['x-greengagecross-attempt-id'];
  const startedAtMs = performance.now();
  console.log(JSON.stringify({kind: 'engine-run', id: attempt}));
  response.writeHead(200, {
    'x-greengagecross-attempt-id': attempt,
    'x-greengagecross-response-seal': '3e1b.07.5a2.600.0.c9f2a4d1',
    'content-type': 'text/event-stream',
  });
  if (!isFaulty) {
    response.end('id: 1\ndata: piece 1 of 1\n\n');
    return;
  }
  let bytes = 0;
  const timer = setInterval(() => {
    for (let at = 0; at < BYTES_PER_INTERVAL; at += 1) {
      if (response.writableNeedDrain) return;
      response.write('.');
      bytes += 1;
    }
  }, INTERVAL_MS);
  response.once('close', () => {
    clearInterval(timer);
    const openMs = Math.round(performance.now() - startedAtMs);
    const event = {kind: 'engine-closed', id: attempt, bytes, openMs};
    console.log(JSON.stringify(event));
  });
});
server.listen(0, '127.0.0.1', () =>
  console.log(
    JSON.stringify({kind: 'engine-port', port: server.address().port}),
  ),
);
process.once('disconnect', () => process.exit(0));
