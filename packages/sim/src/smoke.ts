import type { Deed } from '@pumicebarrow/forms';
import { Callers } from './callers.js';
import { Deployments } from './deployments.js';
import { Engine } from './engine.js';
import { Fleet } from './fleet.js';
import { Operators } from './operators.js';

const list: Deed[] = [];
const motor = Engine.make(Number(process.argv[2] ?? 1));
const f = Fleet.make(motor, Deployments[process.argv[3] === 'registry' ? 'registry' : 'coop'], (d) => list.push(d));
const ops = Operators.make(f, (d) => list.push(d));
const callers = Callers.make(f, (d) => list.push(d));
f.startAll();
motor.at(4000, () => void ops.change());
motor.at(12000, () => callers.start());
motor.at(20000, () => void ops.change());
const t = Date.now();
await motor.run(40000);
console.log('wall', Date.now() - t, 'events', motor.events(), 'mails', f.net.mails());
const by = new Map<string, number>();
for (const d of list) { const k = d.what + (d.what === 'told' ? ` ${d['out']} ${d['ran']} ${d['code']}` : '') + (d.what === 'held' ? ` ${String(d['name']).split(':')[0]} ${d['via']}` : ''); by.set(k, (by.get(k) ?? 0) + 1); }
console.log(Object.fromEntries(by));
for (const d of list.filter((x) => ['view', 'confirmed', 'planned', 'verdict', 'serving', 'mix', 'swap'].includes(x.what)).slice(0, 40)) console.log(JSON.stringify(d));
console.log(f.chain(), [...f.counters.values()].map((c) => c.life()));
