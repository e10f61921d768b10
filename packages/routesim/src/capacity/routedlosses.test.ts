import type { Figure } from '@pumicebarrow/sim';
import { expect } from 'chai';
import { Handing } from './handing.js';
import { RoutedLosses } from './routedlosses.js';

const of = (all: readonly Figure[], what: string): number => all.find((f) => f.what === what)!.value;

describe('A hollow fleet that loses a part', () => {
  for (const what of ['rack', 'zone'] as const)
    it(`goes on by young lists and takes changes: a ${what}`, async () => {
      const got = await RoutedLosses.power(25, 7, what);
      expect(of(got, 'lists too old in the 10 s after')).to.equal(0);
      expect(of(got, 'a change asked for at once is acknowledged')).to.be.within(1, 5000);
      expect(of(got, 'all others hold it')).to.be.within(1, 10_000);
      expect(of(got, 'bytes of the others in the 10 s after, against before')).to.be.within(0.5, 2);
    });
  it('holds the newest configuration soon after a cut, and counts the same from the same seed', async () => {
    const got = await RoutedLosses.region(25, 7, 12_000);
    expect(of(got, 'changes meanwhile')).to.be.greaterThan(5);
    expect(of(got, 'lists asked of the platform meanwhile')).to.be.greaterThan(1.2);
    expect(of(got, 'all hold the newest configuration after the cut')).to.be.within(1, 10_000);
    expect(await RoutedLosses.region(25, 7, 12_000)).to.deep.equal(got);
  });
});

describe('Where memory is handed over', () => {
  it('is within a zone for nearly all', () => {
    const servers = Handing.servers(960);
    const zones = [...new Set(servers.map((s) => s.zone))];
    expect(zones).to.have.length(40);
    const got = Handing.run(960, 7);
    expect(of(got, 'handed over within a zone, each router knows its own')).to.be.greaterThan(0.9);
    expect(of(got, 'handed over within a zone, one table knows all')).to.be.greaterThan(0.8);
  });
});
