import { expect } from 'chai';
import { ConfigurationValidator } from './configurationvalidator.js';

const route = () => ({
  ...{ name: 'r', host: 'a.example', prefix: '/', kind: 'idempotent', timeout: 1000, aim: 0, gap: 0, rank: 0 },
  ...{ split: [{ service: 's1', weight: 1 }], tries: 1, affinity: false, resumable: false },
});
const validRouting = () => ({
  revision: 1,
  routes: [route(), { ...route(), prefix: '/b' }],
  services: ['s1', 's2'].map((name) => ({ name, health: '/', connections: 1, engine: null })),
  limits: { header: 1, body: 1, headerWait: 1, idle: 1 },
  source: {} as unknown,
});
type Draft = ReturnType<typeof validRouting>;
const cases: [string, (r: Draft) => unknown, string[]][] = [
  ['valid routes', () => undefined, []],
  ['an empty list of routes', (r) => (r.routes = []), []],
  ['the same prefix on two hosts', (r) => (r.routes[1] = { ...route(), host: 'b.example' }), []],
  ['two routes with the same host and prefix', (r) => (r.routes[1] = route()), ['/routes/1']],
  ['two hosts that differ only in case', (r) => (r.routes[1] = { ...route(), host: 'A.example' }), ['/routes/1']],
  ['an unknown service', (r) => (r.routes[0]!.split[0]!.service = 's9'), ['/routes/0/split/0/service']],
  ['weights that sum to 0', (r) => (r.routes[1]!.split[0]!.weight = 0), ['/routes/1/split']],
  ['a weight of 0 beside another', (r) => r.routes[0]!.split.push({ service: 's2', weight: 0 }), []],
  ['a timeout of 0', (r) => (r.routes[0]!.timeout = 0), ['/routes/0/timeout']],
  ['two services with the same name', (r) => (r.services[1]!.name = 's1'), ['/services/1/name']],
  ['a revision of 0', (r) => (r.revision = 0), ['/revision']],
  ['a missing revision', (r) => delete (r as Partial<Draft>).revision, ['/revision']],
  ['an unknown key in a route', (r) => Object.assign(r.routes[0]!, { colour: 'red' }), ['/routes/0/colour']],
  [
    'a configuration with several faults',
    (r) => {
      r.services[1]!.name = 's1';
      r.routes[1] = { ...route(), split: [{ service: 's9', weight: 0 }] };
    },
    ['/services/1/name', '/routes/1', '/routes/1/split/0/service', '/routes/1/split'],
  ],
];

describe('RoutingValidator', () => {
  for (const [name, change, paths] of cases) {
    it(`reports the paths of the faults in ${name}`, () => {
      const r = validRouting();
      change(r);
      const parsed = ConfigurationValidator.parse(r);
      expect(parsed.ok ? [] : parsed.val.map((f) => f.path)).to.deep.equal(paths);
    });
  }
});
