// Embeds purge alone: five daemons in this process, each with its own TCP port, share one document.
import { Logs, Machine, Post } from '@pumicebarrow/forms';
import { Purge, Shelf, Tuned } from '@pumicebarrow/purge';
import { createServer } from 'node:net';

const port = () => new Promise((done) => { const s = createServer().listen(0, '127.0.0.1', () => { const p = s.address().port; s.close(() => done(p)); }); });
const addrs = [];
for (let i = 0; i < 5; i++) addrs.push(`127.0.0.1:${await port()}`);
const daemons = [];
for (const [i, addr] of addrs.entries()) {
  const me = { id: `d${i}`, born: 'first', addr, site: 'here', role: 'counter' };
  const world = { ...(await Machine.make(me.id, addr, 'warn', null)), log: Logs.quiet };
  const shelf = Shelf.make((doc) => doc.name === 'greeting' && typeof doc.body === 'string');
  const purge = Purge.make(world, Post.make(world, () => me), () => me, shelf, { ...Tuned, round: 40 }, () => [addrs[(i + 1) % addrs.length]]);
  purge.start();
  daemons.push({ me, world, shelf, purge });
}
daemons[0].purge.publish({ name: 'greeting', mark: [1, 0], body: 'hello' });
const all = () => daemons.every((d) => d.shelf.get('greeting')?.body === 'hello');
while (!all()) await new Promise((done) => setTimeout(done, 10));
for (const d of daemons) {
  const s = d.purge.diary('greeting')[0];
  console.log(`${d.me.id} holds it: ${s.via}, from ${s.from}, hop ${s.hops}`);
  d.purge.stop();
}
await Promise.all(daemons.map((d) => d.world.wire.close()));
console.log('all five hold it');
process.exit(0);
