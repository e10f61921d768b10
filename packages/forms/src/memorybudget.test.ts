import { expect } from 'chai';
import fc from 'fast-check';
import { MemoryBudget } from './memorybudget.js';

const open = (budget: MemoryBudget, evicted: string[], name: string) =>
  budget.open(() => {
    evicted.push(name);
  });

describe('A memory budget', () => {
  it('evicts who holds most, and keeps who holds little', () => {
    const budget = MemoryBudget.make(100);
    const evicted: string[] = [];
    const [small, large, other] = ['small', 'large', 'other'].map((name) => open(budget, evicted, name));
    expect(small!.hold(5)).to.equal(true);
    expect(large!.hold(60)).to.equal(true);
    expect(other!.hold(50)).to.equal(true);
    expect(evicted).to.deep.equal(['large']);
    expect(budget.heldBytes()).to.equal(55);
    expect(large!.hold(1)).to.equal(false);
  });
  it('evicts the one that asks where it holds most itself', () => {
    const budget = MemoryBudget.make(100);
    const evicted: string[] = [];
    open(budget, evicted, 'first').hold(40);
    expect(open(budget, evicted, 'second').hold(80)).to.equal(false);
    expect(evicted).to.deep.equal(['second']);
  });
  it('evicts none that is pinned, and then refuses whoever comes', () => {
    const budget = MemoryBudget.make(100);
    const evicted: string[] = [];
    const served = open(budget, evicted, 'served');
    served.hold(70);
    expect(served.pin()).to.equal(true);
    expect(served.hold(120)).to.equal(true);
    expect(open(budget, evicted, 'late').hold(1)).to.equal(false);
    served.unpin();
    expect(open(budget, evicted, 'later').hold(2)).to.equal(true);
    expect(evicted).to.deep.equal(['late', 'served']);
  });
  it('pins no more than leaves room for others, but what is small', () => {
    const budget = MemoryBudget.make(10_000);
    const [first, second, small] = ['first', 'second', 'small'].map((name) => open(budget, [], name));
    first!.hold(5000);
    second!.hold(4000);
    small!.hold(5);
    expect([first!.pin(), second!.pin(), small!.pin()]).to.deep.equal([true, false, true]);
    first!.close();
    expect(second!.pin()).to.equal(true);
  });
  it('never holds more than its capacity where all may be evicted', () => {
    const steps = fc.array(fc.tuple(fc.integer({ min: 0, max: 9 }), fc.integer({ min: 0, max: 150 })));
    fc.assert(
      fc.property(steps, (list) => {
        const budget = MemoryBudget.make(200);
        const held = new Map<number, number>();
        const accounts = Array.from({ length: 10 }, (_, i) => budget.open(() => held.delete(i)));
        for (const [i, bytes] of list) if (accounts[i]!.hold(bytes)) held.set(i, bytes);
        const sum = [...held.values()].reduce((a, b) => a + b, 0);
        expect(budget.heldBytes()).to.equal(sum);
        expect(sum).to.be.at.most(200);
        for (const account of accounts) account.close();
        expect(budget.heldBytes()).to.equal(0);
      }),
    );
  });
});
