import type { Routing } from '@pumicebarrow/forms';
import type { View } from '@pumicebarrow/registry';
import type { DaemonStatus, Server } from '@pumicebarrow/router';
import { expect } from 'chai';
import type { Daemon } from './daemon.js';
import type { FleetState } from './fleetstate.js';
import { RoutedFleetHealth } from './routedfleethealth.js';
import { StatusReport } from './statusreport.js';

const member = (id: string) => ({ id, born: 'b', addr: '127.0.0.1:1' });
const view: View = { epoch: 3, voters: ['k1', 'k2', 'k3'].map(member), chain: ['k1', 'k2', 'k3'].map(member) };
const daemon = (id: string, more: Partial<DaemonStatus> = {}): Daemon => {
  const role = id.startsWith('k') ? 'keeper' : 'router';
  const who = { ...member(id), site: 'z', role: role === 'keeper' ? 'registry' : 'counter' } as const;
  const status: DaemonStatus = {
    ...{ who, state: 'serving', sure: true, view, head: id === 'k1' },
    configuration: { revision: 7, version: 2, age: 42_000 },
    list: { mark: [3, 1], age: 120, young: true, servers: 2 },
    ...{ silent: role === 'keeper' ? null : 100, suspected: [], known: [], servers: null, orders: null },
    ...more,
  };
  return { id, addr: who.addr, role, zone: 'z', told: status };
};
const server = (id: string, stage: Server['stage'], more: Partial<Server> = {}): Server => ({
  ...{ id, service: 's', addr: '127.0.0.1:2', zone: 'z', state: 'ready', stage, slots: 4, warm: 0 },
  ...more,
});
const engine = { slots: 4, memory: 1, bytes: 1, link: 1, hold: 1, change: 1, models: [] };
const routing: Routing = {
  revision: 7,
  routes: [],
  services: [{ name: 's', health: '/health', connections: 1, engine }],
  limits: { header: 1, body: 1, headerWait: 1, idle: 1 },
  source: '',
};
const healthy: FleetState = {
  ...{ core: { version: 2, routing }, view, orders: [] },
  daemons: ['k1', 'k2', 'k3', 'r1', 'r2'].map((id) => daemon(id)),
  servers: [server('i-1', 'prefill'), server('i-2', 'decode')],
};
const withDaemon = (id: string, more: Partial<DaemonStatus>): FleetState => ({
  ...healthy,
  daemons: healthy.daemons.map((d) => (d.id === id ? daemon(id, more) : d)),
});

describe('RoutedFleetHealth', () => {
  const cases: [string, FleetState, string[]][] = [
    ['nothing is wrong', healthy, []],
    ['the core does not reply', { ...healthy, core: null }, ['the core does not reply: no configuration can change']],
    [
      'no daemon is the head',
      withDaemon('k1', { head: false }),
      ['no control replica speaks as the head: no list goes round, and no stage can change'],
    ],
    ['two daemons are the head', withDaemon('k2', { head: true }), ['k1 and k2 both say that they are the head']],
    [
      'a control replica has left the chain',
      { ...healthy, view: { ...view, chain: view.chain.slice(0, 2) } },
      ['control replica k3 is out of the chain'],
    ],
    [
      'there is no configuration',
      { ...healthy, core: { version: 0, routing: null } },
      ['there is no configuration: plan and confirm one'],
    ],
    ['there is no list', { ...healthy, servers: null }, ['no daemon holds a list of the servers']],
    ['a service has no server', { ...healthy, servers: [] }, ['service s has no server that is ready']],
    [
      'a stage has no server',
      { ...healthy, servers: [server('i-1', 'prefill'), server('i-2', 'decode', { state: 'draining' })] },
      ['service s has no server at decode'],
    ],
    ['a server is suspected', withDaemon('r2', { suspected: ['i-1'] }), ['server i-1 is under suspicion at r2']],
    [
      'a router can not be reached',
      { ...healthy, daemons: healthy.daemons.map((d) => (d.id === 'r1' ? { ...d, told: null } : d)) },
      ['router r1 can not be reached'],
    ],
    [
      'a router has not confirmed its configuration',
      withDaemon('r1', { sure: false, configuration: null }),
      ['router r1 is learning the newest configuration, and refuses requests'],
    ],
    [
      'a router has an old configuration',
      withDaemon('r1', { configuration: { revision: 5, version: 1, age: 1 } }),
      ['router r1 holds revision 5, not 7'],
    ],
    [
      'a router has no configuration',
      withDaemon('r1', { configuration: null }),
      ['router r1 holds no configuration, not 7'],
    ],
    [
      'a router does not hear from the head',
      withDaemon('r1', { silent: 2500 }),
      ['router r1 heard last from the head 2500 ms ago'],
    ],
    [
      'a draining router does not hear from the head, which is no problem',
      withDaemon('r1', { silent: 2500, state: 'draining' }),
      [],
    ],
    [
      'a server list is too old',
      withDaemon('r1', { list: { mark: [3, 1], age: 2500, young: false, servers: 2 } }),
      ['router r1 has too old a list of the servers: requests are refused there'],
    ],
  ];
  for (const [name, state, expected] of cases) {
    it(`reports correctly when ${name}`, () => {
      expect(RoutedFleetHealth.problems(state)).to.deep.equal(expected);
    });
  }
  it('prints the configuration of each daemon with its age, and the stage of each server', () => {
    const order = { server: 'i-2', stage: 'prefill', done: false, by: 'k1', mark: [3, 4] as [number, number] };
    const state = { ...withDaemon('r2', { suspected: ['i-1'] }), orders: [order] };
    const lines = StatusReport.formatLines(
      { ...state, wrong: RoutedFleetHealth.problems(state) },
      Date.UTC(2030, 0, 1),
    );
    expect(lines.slice(0, 4)).to.deep.equal([
      'The fleet is not well (1):',
      '  - server i-1 is under suspicion at r2',
      'Head: k1 at epoch 3, chain k1 > k2 > k3.',
      'Configuration in force: revision 7 (version 2).',
    ]);
    expect(lines.find((l) => l.includes('r1'))).to.match(
      /r1 +router +z +serving +revision 7 since 2029-12-31T23:59:18Z \(42 s\); list 3\.1 of 2 servers, 120 ms old$/,
    );
    expect(lines.slice(-3).map((l) => l.replace(/ +/g, ' '))).to.deep.equal([
      'Servers: 1 read, 1 decode, 2 in all.',
      ' i-1 s prefill z ready; under suspicion at r2',
      ' i-2 s decode z ready; ordered to prefill by k1 under fence 3.4',
    ]);
  });
});
