// Embeds the gossip library alone: five daemons in this process, each with its own TCP port, share one document.
import { Logs, ProductionWorld, Messaging } from '@pumicebarrow/forms';
import { Gossip, InMemoryRecordStore, GossipDefaults } from '@pumicebarrow/purge';
import { createServer } from 'node:net';

const port = () => new Promise((done) => { const s = createServer().listen(0, '127.0.0.1', () => { const p = s.address().port; s.close(() => done(p)); }); });
const addrs = [];
for (let i = 0; i < 5; i++) addrs.push(`127.0.0.1:${await port()}`);
const daemons = [];
for (const [i, addr] of addrs.entries()) {
  const self = { id: `d${i}`, born: 'first', addr, site: 'here', role: 'counter' };
  const world = { ...(await ProductionWorld.make(self.id, addr, 'warn', null)), log: Logs.silent };
  const recordStore = InMemoryRecordStore.make((doc) => doc.name === 'greeting' && typeof doc.body === 'string');
  const gossip = Gossip.make(world, Messaging.make(world, () => self), () => self, recordStore, { ...GossipDefaults, round: 40 }, () => [addrs[(i + 1) % addrs.length]]);
  gossip.start();
  daemons.push({ self, world, recordStore, gossip });
}
daemons[0].gossip.publish({ name: 'greeting', mark: [1, 0], body: 'hello' });
const allHold = () => daemons.every((d) => d.recordStore.get('greeting')?.body === 'hello');
while (!allHold()) await new Promise((done) => setTimeout(done, 10));
for (const d of daemons) {
  const arrival = d.gossip.arrivals('greeting')[0];
  console.log(`${d.self.id} holds it: ${arrival.via}, from ${arrival.from}, hop ${arrival.hops}`);
  d.gossip.stop();
}
await Promise.all(daemons.map((d) => d.world.wire.close()));
console.log('all five hold it');
process.exit(0);
