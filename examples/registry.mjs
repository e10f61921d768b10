// Embeds the control plane: three core daemons in this process, with data folders, confirm a configuration through
// a chain.
import { FileDisk, Logs, ProductionWorld, Messaging } from '@pumicebarrow/forms';
import { GossipDefaults } from '@pumicebarrow/purge';
import { ControlClient, RegistryNode } from '@pumicebarrow/registry';
import { mkdtemp, rm } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const port = () => new Promise((done) => { const s = createServer().listen(0, '127.0.0.1', () => { const p = s.address().port; s.close(() => done(p)); }); });
const dir = await mkdtemp(join(tmpdir(), 'pb-'));
const addrs = [];
for (let i = 0; i < 4; i++) addrs.push(`127.0.0.1:${await port()}`);
const cores = addrs.slice(0, 3);
const worlds = [];
const nodes = [];
for (const [i, addr] of cores.entries()) {
  const world = { ...(await ProductionWorld.make(`c${i + 1}`, addr, 'warn', await FileDisk.make(join(dir, `c${i + 1}`)))), log: Logs.silent };
  const created = await RegistryNode.make(world, { id: `c${i + 1}`, addr, site: 'here', seeds: cores.filter((a) => a !== addr), tunes: GossipDefaults });
  if (created.err) throw new Error(created.val);
  created.val.start();
  worlds.push(world);
  nodes.push(created.val);
}
const world = { ...(await ProductionWorld.make('op', addrs[3], 'warn', null)), log: Logs.silent };
worlds.push(world);
const self = { id: 'op', born: 'first', addr: addrs[3], site: 'here', role: 'counter' };
const controlClient = ControlClient.make(world, Messaging.make(world, () => self), () => cores);
const configuration = {
  sites: ['here'], fallback: 'verdict',
  rules: [{ name: 'verdict', weight: 1, urgency: 9, limit: 5, waitlist: 5, deadline: 2000, pieces: 2, bytes: 1000 }],
  servers: [{ id: 'm1', site: 'here', part: 'prefill', slots: 4 }, { id: 'm2', site: 'here', part: 'decode', slots: 4 }],
  casting: { prefill: 1, floor: { prefill: 1, decode: 1 }, swing: false, calm: 5000 },
};
const write = async (command) => {
  for (;;) {
    const { ruling } = await controlClient.write(command);
    if (ruling.verdict.code !== 'unready') return ruling;
  }
};
await write({ do: 'plan', id: 'first', base: 0, charter: configuration });
await write({ do: 'plan', id: 'second', base: 0, charter: configuration });
console.log((await write({ do: 'confirm', id: 'first' })).verdict.why);
console.log((await write({ do: 'confirm', id: 'second' })).verdict.why);
console.log(`the tail has version ${(await controlClient.read(undefined, 5000)).charter.version}`);
for (const m of nodes) m.stop();
await Promise.all(worlds.map((w) => w.wire.close()));
await rm(dir, { recursive: true });
process.exit(0);
