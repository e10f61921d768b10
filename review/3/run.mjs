// A server breaks off the body of a failure; another gives the same failure whole. Then the next request on that connection.
import net from 'node:net';
import { fileURLToPath } from 'node:url';
import * as lib from '../lib/fleet.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const PAIRS = 5, SIZE = 600, PART = 250;
const log = lib.recorder(fileURLToPath(new URL('.', import.meta.url)));
const runs = new Map();
const bodies = new Map();
/** Requests `f` fail with a body of SIZE bytes; with TROUBLE the first run of each is broken off. Requests `s` are streams. */
const work = (_req, res, seen) => {
  const before = runs.get(seen.id) ?? [];
  runs.set(seen.id, [...before, seen.server.id]);
  const head = { [lib.Headers.id]: seen.id, [lib.Headers.seal]: seen.seal };
  if (seen.id.startsWith('s')) {
    res.writeHead(200, { 'Content-Type': 'text/event-stream', ...head });
    res.end(`id: 1\ndata: word of ${seen.id}\n\n`);
    return;
  }
  const body = `${seen.server.id} has no model for ${seen.id} `.padEnd(SIZE, seen.server.id.slice(-1));
  bodies.set(seen.id, [...(bodies.get(seen.id) ?? []), body]);
  res.writeHead(404, { 'Content-Type': 'text/plain', 'Content-Length': SIZE, ...head });
  if (TROUBLE && before.length === 0) {
    log(`${seen.server.id} breaks off its answer 404 to ${seen.id} after ${PART} of ${SIZE} bytes`);
    res.write(body.slice(0, PART), () => setTimeout(() => res.destroy(), 20));
    return;
  }
  log(`${seen.server.id} answers ${seen.id} with 404 and all of its ${SIZE} bytes`);
  res.end(body);
};
/** A client with one kept connection; `answer` gives what came since the last request, once nothing more comes. */
const client = (addr) => {
  const [host, port] = addr.split(':');
  const socket = net.connect(Number(port), host);
  let got = '', open = true;
  socket.on('data', (b) => (got += b.toString('latin1')));
  socket.on('error', () => undefined);
  socket.on('close', () => (open = false));
  return {
    async answer(id) {
      got = '';
      const headers = Object.entries(lib.asked(id)).map(([k, v]) => `${k}: ${v}\r\n`).join('');
      socket.write(`POST /stream/x HTTP/1.1\r\n${headers}Content-Length: 3\r\n\r\none`);
      await lib.sleep(700);
      return { text: got, open };
    },
    close: () => socket.destroy(),
  };
};
/** The first answer in the bytes, by its length or its chunks, and what is left after it. */
const parse = (text) => {
  const end = text.indexOf('\r\n\r\n');
  const status = Number(/^HTTP\/1\.1 (\d{3}) /.exec(text)?.[1] ?? 0);
  const head = text.slice(0, end).toLowerCase();
  const length = /\r\ncontent-length: (\d+)/.exec(head)?.[1];
  const from = end + 4;
  const to = length !== undefined ? from + Number(length) : text.indexOf('0\r\n\r\n', from) + 5;
  return { status, body: text.slice(from, to), rest: text.slice(to), whole: to <= text.length };
};
const run = async (f) => {
  if (!(await lib.settle(f, lib.configuration(4, lib.resumable), log))) return 2;
  await lib.sleep(1000);
  let broken = 0;
  for (let i = 0; i < PAIRS; i++) {
    const c = client(f.edges[0].front);
    const first = await c.answer(`f${i}`);
    const one = parse(first.text);
    log(`f${i} gets ${one.status}, ${one.body.length} bytes, ${one.rest.length} more after its end; the servers that ran it: ${runs.get(`f${i}`)}`);
    const theirs = (bodies.get(`f${i}`) ?? []).includes(one.body);
    if (one.whole && !theirs) log(`the body that f${i} gets is of no server: ${one.body.slice(0, 30)}...${one.body.slice(-10)}`);
    let second = null;
    if (first.open) {
      second = await c.answer(`s${i}`);
      const two = parse(second.text);
      const own = two.status === 200 && second.text.includes(`word of s${i}`) && two.rest === '';
      log(`s${i}, next on that connection, gets ${own ? 'its answer' : `${JSON.stringify(second.text.slice(0, 60))}`}`);
    } else log('the connection was closed');
    // An answer that ended early must not look complete: one that does is the whole answer of a server.
    if (one.status !== 0 && one.whole && !theirs) broken++;
    c.close();
  }
  log(`${broken} of ${PAIRS} answers look complete and are no server's answer`);
  return broken > 0 ? 1 : 0;
};
let code = 2, f = null;
try {
  const stages = ['prefill', 'prefill', 'decode', 'decode', 'decode', 'decode'];
  const servers = stages.map((stage, i) => ({ id: `i-${i + 1}`, service: 'llm', stage, work }));
  f = await lib.fleet({ log, routers: 2, servers });
  code = await run(f);
} catch (e) {
  log(`could not run: ${e.stack}`);
}
await f?.stop();
log(`exit ${code}`);
process.exit(code);
