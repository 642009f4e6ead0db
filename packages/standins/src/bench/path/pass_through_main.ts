import {Agent, createServer, request} from 'node:http';
import {parseArgs} from 'node:util';

const {values} = parseArgs({
  options: {port: {type: 'string'}, target: {type: 'string'}},
});
const agent = new Agent({keepAlive: true, maxFreeSockets: 1024});

// Baseline of the path bench: a plain reverse proxy without routing decisions.
createServer((incoming, outgoing) => {
  const sending = request(
    {
      agent,
      host: '127.0.0.1',
      port: Number(values.target),
      method: incoming.method,
      path: incoming.url,
      headers: incoming.headers,
    },
    reply => {
      outgoing.writeHead(reply.statusCode ?? 502, reply.headers);
      reply.pipe(outgoing);
    },
  );
  sending.on('error', () => outgoing.destroy());
  incoming.pipe(sending);
}).listen(Number(values.port), '127.0.0.1');
