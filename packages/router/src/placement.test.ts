import { Random } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { PrefixCacheEstimate } from './prefixcacheestimate.js';
import { Placement } from './placement.js';
import { ServerHealth } from './serverhealth.js';
import { ServerList } from './serverlist.js';
import { ServerLoads } from './serverloads.js';
import { prompt, routing, server, testClock } from './fixtures.test.js';

describe('placement', () => {
  const all = [
    server('p1', 'prefill'),
    server('p2', 'prefill', { zone: 'z2' }),
    server('d1', 'decode'),
    server('d2', 'decode', { zone: 'z2' }),
    server('x1', 'decode', { service: 'other' }),
  ];
  const make = () => {
    const time = testClock();
    const list = ServerList.make(
      time.clock,
      () => 2000,
      () => undefined,
    );
    list.replace(all, time.clock.mono(), 'shared');
    const loads = ServerLoads.make(),
      health = ServerHealth.make(time.clock);
    const reassigned = new Set<string>();
    const connected = new Set<string>();
    const slow = new Map<string, number>();
    const wait = { ms: 0 };
    const place = Placement.make({
      ...{ random: Random.seeded(3), zone: 'z1', list, loads, health, kept: PrefixCacheEstimate.make(() => 400_000) },
      ...{
        pace: () => 40,
        speed: (id: string) => slow.get(id) ?? 1,
        changing: () => (s: { id: string }) => reassigned.has(s.id),
        linked: (s: { id: string }) => connected.has(s.id),
        wait: () => wait.ms,
      },
    });
    const { services, routes } = routing();
    return {
      time,
      list,
      loads,
      health,
      place,
      changed: reassigned,
      linked: connected,
      slow,
      wait,
      service: services[0]!,
      route: routes[0]!,
    };
  };
  const none = new Set<string>();
  it('prefers a decode server with an open connection if it is hardly busier or farther away', () => {
    const cases = [
      { runs: 6, links: [], want: 'd1' },
      { runs: 6, links: ['d2'], want: 'd2' },
      { runs: 6, links: ['d1', 'd2'], want: 'd1' },
      { runs: 4, links: ['d2'], want: 'd1' },
    ];
    for (const { runs, links, want } of cases) {
      const { place, loads, linked, service } = make();
      for (const id of links) linked.add(id);
      for (let i = 0; i < runs; i++) loads.beginRun('d1');
      for (let i = 0; i < 20; i++)
        expect(place.chooseDecode(service, null, null, none)!.id, links.join()).to.equal(want);
    }
  });
  /**
   * Guards against reading shared tokens twice: nine tenths of such tokens, 0.9 of 1 million in a day, were those of
   * long prompts read by decode servers. Each prompt was sent to the home of its prefix among the decode servers, as if
   * that held the shared part, although nothing had brought it there.
   */
  it('does not assume a long shared part at a decode server that was never seen to read it', () => {
    for (let i = 0; i < 200; i++) {
      const { place, loads, service, route } = make();
      const p = { ...prompt(300, 6000), parts: prompt(300, 6000).parts.map((x) => ({ ...x, id: `${x.id}${i}` })) };
      for (const id of ['p1', 'p2']) loads.beginRead(id, 12_000);
      expect(place.evaluate(service, route, p, none).prefill, `prefix ${i}`).to.not.equal(null);
    }
  });
  it('keeps a prefix at its home until the home is too busy', () => {
    const { place, loads, service, route } = make();
    const p = prompt(1200, 8000);
    const home = place.evaluate(service, route, p, none).prefill!.server.id;
    for (let i = 0; i < 20; i++) expect(place.evaluate(service, route, p, none).prefill!.server.id).to.equal(home);
    loads.beginRead(home, 60_000);
    for (const id of ['d1', 'd2']) loads.beginRead(id, 60_000);
    expect(place.evaluate(service, route, p, none).prefill!.server.id).to.not.equal(home);
  });
  it('reads short prompts at the decode server unless that is busy reading', () => {
    const { place, loads, service, route } = make();
    const p = prompt(200, 200);
    expect(place.evaluate(service, route, p, none).prefill).to.equal(null);
    loads.beginRead('d1', 4000);
    loads.beginRead('d2', 4000);
    expect(place.evaluate(service, route, p, none).prefill?.server.stage).to.equal('prefill');
  });
  it('reads at the decode server if recent reads waited at prefill servers for work of other routers', () => {
    const { place, wait, service, route } = make();
    const p = prompt(1800, 500);
    expect(place.evaluate(service, route, p, none).prefill?.server.stage).to.equal('prefill');
    const { firstEventMs: ms } = place.evaluate(service, route, p, none);
    wait.ms = 250;
    expect(place.evaluate(service, route, p, none).prefill).to.equal(null);
    expect(place.evaluate(service, route, p, none).firstEventMs).to.be.at.most(ms);
    expect(place.evaluate(service, route, prompt(9000, 5000), none).prefill?.server.stage).to.equal('prefill');
  });
  it('reads long prompts at the decode server once the prefill servers are far behind', () => {
    const { place, loads, service, route } = make();
    const p = prompt(3000, 200);
    expect(place.evaluate(service, route, p, none).prefill?.server.stage).to.equal('prefill');
    loads.beginRead('p1', 40_000);
    loads.beginRead('p2', 40_000);
    expect(place.evaluate(service, route, p, none).prefill).to.equal(null);
  });
  it('expects no queueing for a tiny prompt, which is read ahead of the queue', () => {
    const { place, loads, service, route } = make();
    for (const id of ['p1', 'p2', 'd1', 'd2']) loads.beginRead(id, 60_000);
    const tiny = place.evaluate(service, route, prompt(300, 200), none),
      long = place.evaluate(service, route, prompt(3000, 200), none);
    expect(tiny.firstEventMs).to.be.lessThan(route.aim / 2);
    expect(long.firstEventMs).to.be.greaterThan(1500);
  });
  it('leaves a busy home only for a server where few requests are delayed by the repeated read', () => {
    for (const [reads, stays] of [
      [1, false],
      [20, true],
    ] as const) {
      const { place, loads, service, route } = make();
      const p = prompt(5000, 3000);
      const home = place.evaluate(service, route, p, none).prefill!.server.id;
      const other = home === 'p1' ? 'p2' : 'p1';
      loads.beginRead(home, 70_000);
      for (let i = 0; i < reads; i++) loads.beginRead(other, 40_000 / reads);
      for (const id of ['d1', 'd2']) loads.beginRead(id, 90_000);
      expect(place.evaluate(service, route, p, none).prefill!.server.id === home, `${reads} reads`).to.equal(stays);
    }
  });
  it('chooses no server that was ordered to another stage', () => {
    const { place, changed, service } = make();
    changed.add('d1');
    expect(place.chooseDecode(service, null, all[0]!, none)?.id).to.equal('d2');
  });
  it('uses a slow server only for what the others cannot take', () => {
    const { place, slow, loads, service } = make();
    slow.set('d1', 4);
    expect(place.chooseDecode(service, prompt(2000), all[0]!, none)!.id).to.equal('d2');
    for (let i = 0; i < 40; i++) loads.beginRun('d2');
    expect(place.chooseDecode(service, prompt(2000), all[0]!, none)!.id).to.equal('d1');
  });
  it('decodes in the zone of the KV cache unless that is clearly busier', () => {
    const { place, loads, service } = make();
    expect(place.chooseDecode(service, prompt(2000), all[0]!, none)!.id).to.equal('d1');
    expect(place.chooseDecode(service, prompt(2000), all[1]!, none)!.id).to.equal('d2');
    for (let i = 0; i < 20; i++) loads.beginRun('d1');
    expect(place.chooseDecode(service, prompt(2000), all[0]!, none)!.id).to.equal('d2');
  });
  it('chooses a suspected server only if no other is left, and never one of another service', () => {
    const { place, health, service } = make();
    health.recordFailure('d1');
    for (let i = 0; i < 20; i++) expect(place.chooseDecode(service, null, all[0]!, none)!.id).to.equal('d2');
    health.recordFailure('d2');
    expect(['d1', 'd2']).to.include(place.chooseDecode(service, null, all[0]!, none)!.id);
    expect(place.chooseDecode(service, null, all[0]!, new Set(['d1', 'd2']))).to.equal(null);
  });
  it('heeds reports of other routers while they leave half of a stage, and its own failures always', () => {
    const { place, health, service } = make();
    health.recordPeerReport('d1', 'a');
    for (let i = 0; i < 20; i++) expect(place.chooseDecode(service, null, all[0]!, none)!.id).to.equal('d2');
    health.recordPeerReport('d2', 'a');
    const both = new Set(Array.from({ length: 40 }, () => place.chooseDecode(service, null, all[0]!, none)!.id));
    expect(both.has('d1')).to.equal(true);
    health.recordFailure('d1');
    for (let i = 0; i < 20; i++) expect(place.chooseDecode(service, null, all[0]!, none)!.id).to.equal('d2');
  });
});
