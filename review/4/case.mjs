// The head of the control side is killed and is back at once; meanwhile a server begins to leave. Do routers learn of it?
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Fleet, ModelServer, configuration, now, send, sleep } from '../lib-2/fleet.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const TROUBLE = process.env.TROUBLE !== '0';
/** ms from the start of traffic: servers in trouble (for 5 s each time), then the kill, then the end of traffic. */
const TROUBLED = [1_000, 8_000];
const SPELL = 5_000;
const KILL = 19_000;
const END = 31_000;
/** ms between two requests at one router: 60 requests a second in all, a burst of the site. */
const GAP = 50;
/** How long the killed process is away, and how long the leaving server still serves ("at times many seconds"). */
const AWAY = 200;
const LEAVES = 9_000;
/** A server in trouble breaks off one of so many of its answers (x = 0.03). */
const EVERY = 34;

let troubled = new Set();
const answers = new Map();
const run = async (call) => {
  const { id } = call.server;
  const n = (answers.get(id) ?? 0) + 1;
  answers.set(id, n);
  if (!TROUBLE || !troubled.has(id) || n % EVERY !== 0) return ModelServer.stream(call);
  call.res.writeHead(200, ModelServer.head(call));
  call.res.write(ModelServer.event(call, 1));
  await sleep(10);
  call.server.record.say(`server ${id} breaks off its answer to ${call.id}`);
  call.res.destroy();
};
const servers = Array.from({ length: 9 }, (_, i) => ({
  stage: i < 3 ? 'prefill' : 'decode',
  zone: ['north', 'centre', 'south'][i % 3],
  hooks: { run },
}));
const fleet = await Fleet.make(HERE, { servers });
const { record, bounds } = fleet;
const decode = fleet.servers.slice(3);
let code = 2;
try {
  await fleet.start();
  const first = await fleet.replace(0, configuration(1));
  if (first.status !== 200 || !(await fleet.untilReady())) throw new Error('the deployment did not come up');
  await sleep(bounds.contact);
  const begun = now();
  const sentAt = new Map();
  const all = [];
  const one = async (router, n) => {
    const id = `${router.name}.${n}.${process.pid}`;
    sentAt.set(id, now());
    const got = await send(router.front, { id, most: 16, tokens: n % 4 === 0 ? 6000 : 400, topic: `5c${(n % 40).toString(16).padStart(6, '0')}`, deadline: 8000 });
    record.say(`client ${id} ${got.status || 'no answer'}${got.complete ? '' : ', not whole'} after ${Math.round(got.at - got.sentAt)} ms`);
    return { id, ...got };
  };
  const traffic = Promise.all(
    fleet.routers.map(async (router) => {
      for (let n = 0; now() - begun < END; n++) {
        all.push(one(router, n));
        await sleep(GAP);
      }
    }),
  );
  // Five of the nine servers at a time (share 0.56 of 0.6) are in trouble for 5 s.
  for (const [i, at] of TROUBLED.entries()) {
    await sleep(begun + at - now());
    troubled = new Set(decode.slice(i, i + 5).map((s) => s.id));
    answers.clear();
    await sleep(SPELL);
    troubled = new Set();
  }
  await sleep(begun + KILL - now());
  // The core machine that read the platform's list last is killed and is back within a second. Meanwhile a server that
  // answered well begins to leave: the list shows it as draining, and it serves on for a while.
  const reader = fleet.node(fleet.readers.filter((r) => fleet.node(r.name).role === 'control').at(-1).name);
  const leaver = decode[5];
  if (TROUBLE) {
    fleet.signal(reader, 'SIGKILL');
    await fleet.processes.get(reader.name)?.gone;
  }
  leaver.state = 'draining';
  const shown = now();
  record.say(`the platform's list shows ${leaver.id} as draining`);
  let settled = shown;
  if (TROUBLE) {
    await sleep(AWAY);
    fleet.writeSettings(reader, false);
    fleet.rise(reader);
    settled = now() + bounds.contact;
  }
  await sleep(shown + LEAVES - now());
  leaver.hidden = true;
  await leaver.stop();
  record.say(`server ${leaver.id} has ended and is off the list`);
  const ended = now();
  await traffic;
  const answered = await Promise.all(all);
  // DRAIN: it reached the server later than the bound for that after the list showed it, by a router in touch: nothing happened to
  // the routers, and the core has been settled for long enough when the request was sent.
  const late = leaver.ran.filter((r) => r.at - shown > bounds.drain && sentAt.get(r.id) > settled);
  for (const r of late) record.say(`DRAIN ${r.id}: reached ${leaver.id} ${Math.round(r.at - shown)} ms after the list showed it as draining`);
  const cut = answered.filter((a) => !a.complete && leaver.ran.some((r) => r.id === a.id) && a.at > ended - 100);
  if (!leaver.ran.some((r) => r.at < shown)) throw new Error('the leaving server was sent nothing before');
  const last = late.length > 0 ? Math.round(Math.max(...late.map((r) => r.at)) - shown) : 0;
  console.log(
    `${late.length > 0 ? 'broken' : 'held'}: ${late.length} requests reached it too late, the last after ${last} ms; ` +
      `${cut.length} were cut when it ended; ${answered.length} in all`,
  );
  code = late.length > 0 ? 1 : 0;
} catch (e) {
  record.say(`could not run: ${e.message}`);
  console.log(`could not run: ${e.message}`);
} finally {
  await fleet.stop();
}
process.exit(code);
