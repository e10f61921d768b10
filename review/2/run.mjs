// A router leaves in order (SIGTERM) while servers put streams back for a while, as they may when memory runs out.
import { fileURLToPath } from 'node:url';
import * as lib from '../lib/fleet.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
/** A stream: so many events, so far apart, and the pause in the middle of it while its prompt is read anew. */
const MANY = 12, EVENTS = 10, GAP = 60, PAUSE = 1900;
/** The newest half of the streams is put back, the others go on. */
const isPutBack = (id) => TROUBLE && Number(id.slice(1)) >= MANY / 2;
const log = lib.recorder(fileURLToPath(new URL('.', import.meta.url)));
const runs = new Map();
const stream = (req, res, seen) => {
  const after = Number(req.headers['last-event-id'] ?? 0);
  runs.set(seen.id, [...(runs.get(seen.id) ?? []), `${seen.server.id} after event ${after}`]);
  log(`${seen.server.id} runs ${seen.id} after event ${after}`);
  res.writeHead(200, { 'Content-Type': 'text/event-stream', [lib.Headers.id]: seen.id, [lib.Headers.seal]: seen.seal });
  let n = after;
  const next = () => {
    if (res.destroyed) {
      log(`${seen.server.id} stops ${seen.id} after event ${n}: its connection was closed`);
      return;
    }
    res.write(`id: ${++n}\ndata: word ${n}\n\n`);
    if (n === EVENTS) res.end();
    else setTimeout(next, isPutBack(seen.id) && n === EVENTS / 2 && after === 0 ? PAUSE : GAP);
  };
  setTimeout(next, GAP);
};
const ask = async (to, id) => {
  const got = await lib.call(to.front, { method: 'POST', path: '/stream/x', headers: lib.asked(id), body: 'one' });
  const events = [...got.body.matchAll(/^id: (\d+)$/gm)].length;
  const whole = got.status === 200 && got.whole && events === EVENTS;
  log(`client of ${id}: status ${got.status}, ${events} events, ${whole ? 'complete' : `cut (${got.error})`}`);
  return { id, whole, ...got };
};
const run = async (f) => {
  if (!(await lib.settle(f, lib.configuration(4, lib.resumable), log))) return 2;
  // No unplanned trouble for as long as contact takes before the requests.
  await lib.sleep(4000);
  const leaving = f.edges[0];
  const asked = Array.from({ length: MANY }, (_, i) => ask(leaving, `s${i}`));
  await lib.sleep(200);
  log(`SIGTERM to ${leaving.id}`);
  leaving.proc.kill('SIGTERM');
  const answers = await Promise.all(asked);
  await lib.until(() => leaving.ended, 9000);
  if (answers.some((a) => a.status !== 200)) return 2;
  const lost = answers.filter((a) => !a.whole);
  log(`${lost.length} of ${MANY} connections ended without a complete answer`);
  return lost.length > 0 ? 1 : 0;
};
let code = 2, f = null;
try {
  const stages = ['prefill', 'prefill', 'decode', 'decode', 'decode', 'decode'];
  const servers = stages.map((stage, i) => ({ id: `i-${i + 1}`, service: 'llm', stage, work: stream }));
  f = await lib.fleet({ log, routers: 7, servers });
  code = await run(f);
} catch (e) {
  log(`could not run: ${e.stack}`);
}
await f?.stop();
log(`exit ${code}`);
process.exit(code);
