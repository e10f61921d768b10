import { expect } from 'chai';
import { JsonCost } from './jsoncost.js';

const MIB = 1024 * 1024;
const estimate = (text: string): number => JsonCost.estimate(Buffer.from(text));

describe('The estimated cost of JSON', () => {
  const repeated = (item: string): string => `[${`${item},`.repeat(MIB / (item.length + 1))}${item}]`;
  for (const item of ['{}', '[]', '0', '""', '{"a":1}', '[[1],[2]]', '"text of some length"'])
    it(`is no less than what many times ${item} takes`, () => {
      const text = repeated(item);
      const before = process.memoryUsage().heapUsed;
      const value: unknown = JSON.parse(text);
      const taken = process.memoryUsage().heapUsed - before;
      expect(value).to.be.an('array');
      expect(estimate(text)).to.be.at.least(taken);
    });
  it('is a few times its length for a configuration', () => {
    const route = {
      name: 'r-d3zji9n',
      hostname: 'ficu95.example',
      prefix: '/pufi791/',
      timeout: 8000,
      resumable: true,
    };
    const text = JSON.stringify({ routes: Array.from({ length: 1000 }, () => route) }, null, 2);
    expect(estimate(text)).to.be.at.most(6 * text.length);
  });
});
