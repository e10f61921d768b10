import { expect } from 'chai';
import { Chunks } from './chunks.js';

const text = JSON.stringify(
  Array.from({ length: 5000 }, (_, i) => [`server-${i * 7919}`, i % 8, `10.2.${i % 250}.${i % 7}:8080`]),
);

describe('Chunks', () => {
  it('concatenate to the text and are of moderate size', () => {
    const chunks = Chunks.split(text);
    expect(chunks.join('')).to.equal(text);
    expect(text.length / chunks.length).to.be.within(600, 1500);
    for (const c of chunks.slice(0, -1)) expect(c.length).to.be.within(512, 8192);
  });
  for (const [name, odd] of [
    ['an empty text', ''],
    ['one character', 'x'],
    ['one character repeated', 'x'.repeat(50_000)],
    ['characters outside the basic multilingual plane', '😀é'.repeat(20_000)],
  ] as const)
    it(`concatenate to the text of ${name}`, () => expect(Chunks.split(odd).join('')).to.equal(odd));
  it('stay the same away from a change', () => {
    const before = new Set(Chunks.split(text));
    for (const at of [0, 1000, text.length / 2, text.length - 1]) {
      const after = Chunks.split(`${text.slice(0, at)}some more${text.slice(at)}`);
      expect(after.filter((c) => !before.has(c)).length, String(at)).to.be.at.most(3);
    }
  });
});
