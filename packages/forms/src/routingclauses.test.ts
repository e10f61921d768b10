import { expect } from 'chai';
import { Clauses } from './clauses.js';

const row = () => ({
  ...{ name: 'r', host: 'a.example', prefix: '/', kind: 'idempotent', timeout: 1000, aim: 0, gap: 0, rank: 0 },
  ...{ split: [{ service: 's1', weight: 1 }], tries: 1, affinity: false, resumable: false },
});
const good = () => ({
  revision: 1,
  routes: [row(), { ...row(), prefix: '/b' }],
  services: ['s1', 's2'].map((name) => ({ name, health: '/', connections: 1, engine: null })),
  limits: { header: 1, body: 1, headerWait: 1, idle: 1 },
  source: {} as unknown,
});
type Draft = ReturnType<typeof good>;
const cases: [string, (r: Draft) => unknown, string[]][] = [
  ['sound routes', () => undefined, []],
  ['no routes at all', (r) => (r.routes = []), []],
  ['one prefix on two hosts', (r) => (r.routes[1] = { ...row(), host: 'b.example' }), []],
  ['a host and prefix twice', (r) => (r.routes[1] = row()), ['/routes/1']],
  ['a host that is the same in capitals', (r) => (r.routes[1] = { ...row(), host: 'A.example' }), ['/routes/1']],
  ['an unknown service', (r) => (r.routes[0]!.split[0]!.service = 's9'), ['/routes/0/split/0/service']],
  ['weights of nothing', (r) => (r.routes[1]!.split[0]!.weight = 0), ['/routes/1/split']],
  ['a weight of nothing beside another', (r) => r.routes[0]!.split.push({ service: 's2', weight: 0 }), []],
  ['a timeout of nothing', (r) => (r.routes[0]!.timeout = 0), ['/routes/0/timeout']],
  ['a service named twice', (r) => (r.services[1]!.name = 's1'), ['/services/1/name']],
  ['a revision of nothing', (r) => (r.revision = 0), ['/revision']],
  ['no revision', (r) => delete (r as Partial<Draft>).revision, ['/revision']],
  ['a key not known', (r) => Object.assign(r.routes[0]!, { colour: 'red' }), ['/routes/0/colour']],
  [
    'several faults at once',
    (r) => {
      r.services[1]!.name = 's1';
      r.routes[1] = { ...row(), split: [{ service: 's9', weight: 0 }] };
    },
    ['/services/1/name', '/routes/1', '/routes/1/split/0/service', '/routes/1/split'],
  ],
];

describe('Clauses, of routes', () => {
  for (const [name, change, paths] of cases) {
    it(`names the faults of ${name}`, () => {
      const r = good();
      change(r);
      const got = Clauses.read(r);
      expect(got.ok ? [] : got.val.map((f) => f.path)).to.deep.equal(paths);
    });
  }
});
