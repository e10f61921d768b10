// A zone is lost, as the settings allow: with it two of five core machines.
import { fileURLToPath } from 'node:url';
import * as lib from '../lib/fleet.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
/** The longest bound that could be asked for, and for how long it is read back at the least. */
const RECOVERY = 12_000, CONTACT = 3000, PATIENCE = 15_000;
const log = lib.recorder(fileURLToPath(new URL('.', import.meta.url)));
const stream = (_req, res, seen) => {
  res.writeHead(200, { 'Content-Type': 'text/event-stream', [lib.Headers.id]: seen.id, [lib.Headers.seal]: seen.seal });
  res.end('id: 1\ndata: word\n\n');
};
const run = async (f) => {
  if (!(await lib.settle(f, lib.configuration(4), log))) return 2;
  // All machines have been there for longer than catching up takes.
  await lib.sleep(6000);
  const text = lib.configuration(6);
  const taken = await lib.replace(f.cores[3].control, 4, text);
  log(`configuration 6 sent to ${f.cores[3].id}: ${taken.status}`);
  if (taken.status !== 200) return 2;
  await lib.sleep(3000);
  const left = f.daemons.filter((d) => d.zone !== 'east');
  if (TROUBLE)
    for (const d of f.daemons.filter((x) => x.zone === 'east')) {
      log(`${d.id} in east is lost`);
      d.proc.kill('SIGKILL');
    }
  await lib.sleep(RECOVERY);
  let back = null, tries = 0;
  for (const end = Date.now() + CONTACT + PATIENCE; back === null && Date.now() < end; await lib.sleep(200)) {
    const d = left[tries++ % left.length];
    const got = await lib.readBack(d.control, 4000);
    log(`read at ${d.id} (${d.zone}): ${got.status || got.error} ${got.body.slice(0, 80)}`);
    if (got.status === 200) back = got.body;
  }
  const next = await lib.replace(left[1].control, 6, lib.configuration(8));
  log(`configuration 8 sent to ${left[1].id}: ${next.status || next.error} ${next.body.slice(0, 80)}`);
  log(back === null ? 'the acknowledged configuration does not come' : back === text ? 'read back as it was sent' : 'read back, but changed');
  return back === text && next.status === 200 ? 0 : 1;
};
let code = 2, f = null;
try {
  const servers = ['prefill', 'decode', 'decode'].map((stage, i) => ({ id: `i-${i + 1}`, service: 'llm', stage, work: stream }));
  const zoneOf = ['east', 'east', 'north', 'north', 'south', 'north', 'south'];
  f = await lib.fleet({ log, controls: 5, routers: 2, servers, zoneOf, zoneLosses: 1 });
  code = await run(f);
} catch (e) {
  log(`could not run: ${e.stack}`);
}
await f?.stop();
log(`exit ${code}`);
process.exit(code);
