import { expect } from 'chai';
import fc from 'fast-check';
import { ByteCollector } from './bytecollector.js';

const BLOCK_BYTES = 64 * 1024;

describe('A byte collector', () => {
  it('gives back all bytes in order, and takes memory in proportion to them, however they are cut', () => {
    const sizes = fc.array(fc.oneof(fc.constant(1), fc.integer({ min: 0, max: 100_000 })), { maxLength: 40 });
    fc.assert(
      fc.property(sizes, (lengths) => {
        const chunks = lengths.map((length, i) => Buffer.alloc(length, i));
        const collector = ByteCollector.make();
        for (const chunk of chunks) {
          collector.add(chunk);
          expect(collector.heldBytes()).to.be.at.most(2 * collector.size() + BLOCK_BYTES);
        }
        const all = Buffer.concat(chunks);
        expect(collector.size()).to.equal(all.length);
        expect(collector.take().equals(all)).to.equal(true);
        expect([collector.size(), collector.heldBytes()]).to.deep.equal([0, 0]);
      }),
    );
  });
  it('takes little more than their weight for a million bytes that come one by one', () => {
    const collector = ByteCollector.make();
    for (let i = 0; i < 1_000_000; i++) collector.add(Buffer.of(i & 255));
    expect(collector.heldBytes()).to.be.within(1_000_000, 1_000_000 + BLOCK_BYTES);
  });
  it('does not keep a large buffer for a small part of it', () => {
    const collector = ByteCollector.make();
    const part = Buffer.alloc(BLOCK_BYTES).subarray(0, 5000);
    collector.add(part);
    const taken = collector.take();
    expect(taken.equals(part)).to.equal(true);
    expect(taken.buffer.byteLength).to.be.below(BLOCK_BYTES / 2);
  });
  it('copies nothing where all came at once', () => {
    const collector = ByteCollector.make();
    const only = Buffer.alloc(20, 'x');
    collector.add(only);
    expect(collector.take()).to.equal(only);
  });
});
