// A router leaves in order (SIGTERM) while servers answer as they may: whole, without a length, ended by a close.
import { fileURLToPath } from 'node:url';
import * as lib from '../lib/fleet.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const MANY = 12, EVENTS = 10, GAP = 120;
const log = lib.recorder(fileURLToPath(new URL('.', import.meta.url)));
const whole = new Map();
/** A stream of EVENTS events over 1.2 s. With TROUBLE it has no length: it ends with an orderly close (FIN). */
const stream = (_req, res, seen) => {
  if (TROUBLE) res.useChunkedEncodingByDefault = false;
  res.writeHead(200, {
    'Content-Type': 'text/event-stream', [lib.Headers.id]: seen.id, [lib.Headers.seal]: seen.seal,
    ...(TROUBLE ? { Connection: 'close' } : {}),
  });
  let n = 0;
  const timer = setInterval(() => {
    if (res.destroyed) return clearInterval(timer);
    res.write(`id: ${++n}\ndata: word ${n}\n\n`);
    if (n < EVENTS) return undefined;
    clearInterval(timer);
    return res.end(() => {
      whole.set(seen.id, true);
      log(`${seen.server.id} ran ${seen.id} and gave its whole answer${TROUBLE ? ', closing in order' : ''}`);
    });
  }, GAP);
};
const ask = async (to, id) => {
  const got = await lib.call(to.front, { method: 'POST', path: '/stream/x', headers: lib.asked(id), body: 'one' });
  const events = [...got.body.matchAll(/^id: (\d+)$/gm)].length;
  const answered = got.status !== 0 && got.whole;
  log(`client of ${id}: status ${got.status}, ${events} events, ${answered ? 'complete' : `cut (${got.error})`}`);
  return { id, answered, ...got };
};
const run = async (f) => {
  if (!(await lib.settle(f, lib.configuration(4, [lib.route()]), log))) return 2;
  // No unplanned trouble for `contact_ms` before the requests.
  await lib.sleep(3500);
  const leaving = f.edges[0];
  const asked = Array.from({ length: MANY }, (_, i) => ask(leaving, `s${i}`));
  await lib.sleep(300);
  log(`SIGTERM to ${leaving.id}`);
  leaving.proc.kill('SIGTERM');
  const answers = await Promise.all(asked);
  await lib.until(() => leaving.ended, 9000);
  const lost = answers.filter((a) => !a.answered && whole.get(a.id));
  log(`${lost.length} of ${MANY} connections ended without a complete answer, though the server had given it whole`);
  if (answers.some((a) => a.status === 503)) return 2;
  return lost.length > 0 ? 1 : 0;
};
let code = 2, f = null;
try {
  const servers = ['prefill', 'decode', 'decode'].map((stage, i) => ({ id: `i-${i + 1}`, service: 'llm', stage, work: stream }));
  f = await lib.fleet({ log, routers: 2, servers });
  code = await run(f);
} catch (e) {
  log(`could not run: ${e.stack}`);
}
await f?.stop();
log(`exit ${code}`);
process.exit(code);
