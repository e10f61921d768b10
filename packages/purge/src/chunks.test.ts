import { expect } from 'chai';
import { Chunks } from './chunks.js';

const text = JSON.stringify(
  Array.from({ length: 5000 }, (_, i) => [`server-${i * 7919}`, i % 8, `10.2.${i % 250}.${i % 7}:8080`]),
);

describe('Chunks', () => {
  it('joined are the text, and are neither small nor large', () => {
    const all = Chunks.split(text);
    expect(all.join('')).to.equal(text);
    expect(text.length / all.length).to.be.within(600, 1500);
    for (const c of all.slice(0, -1)) expect(c.length).to.be.within(512, 8192);
  });
  for (const [name, odd] of [
    ['nothing', ''],
    ['one character', 'x'],
    ['the same character over and over', 'x'.repeat(50_000)],
    ['characters beyond the first plane', '😀é'.repeat(20_000)],
  ] as const)
    it(`are the text of ${name}`, () => expect(Chunks.split(odd).join('')).to.equal(odd));
  it('beyond a change are as they were', () => {
    const was = new Set(Chunks.split(text));
    for (const at of [0, 1000, text.length / 2, text.length - 1]) {
      const now = Chunks.split(`${text.slice(0, at)}some more${text.slice(at)}`);
      expect(now.filter((c) => !was.has(c)).length, String(at)).to.be.at.most(3);
    }
  });
});
