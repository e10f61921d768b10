import { Dice, type Doc } from '@pumicebarrow/forms';
import { Shelf } from '@pumicebarrow/purge';
import { expect } from 'chai';
import { SharedSound } from './sharedsound.js';
import { Sightings } from './sightings.js';
import { testClock } from './stand.test.js';

describe('reports of failed servers', () => {
  const make = () => {
    const time = testClock();
    const store = Shelf.make(SharedSound.doc);
    const published: string[] = [];
    const publish = (d: Doc): boolean => {
      published.push(d.name);
      return store.offer(d);
    };
    const tools = { clock: time.clock, chance: Dice.seeded(1), shelf: store, purge: { publish }, self: 'me' };
    return { time, store, published, sightings: Sightings.make(tools) };
  };
  it('are sent once, and again only after the last one expired', async () => {
    const { time, published, sightings } = make();
    for (const id of ['a', 'b', 'a']) sightings.report(id);
    expect(published).to.deep.equal(['sight:a', 'sight:b']);
    await time.pass(600);
    sightings.report('a');
    expect(published.length).to.equal(3);
  });
  it('are not sent if another router has just sent one', async () => {
    const { time, store, published, sightings } = make();
    const body = { server: 'a', born: 'a', by: 'other' };
    store.offer({ name: 'sight:a', mark: [4, 1], body });
    sightings.report('a');
    expect(published).to.deep.equal([]);
    await time.pass(600);
    sightings.report('a');
    expect(store.mark('sight:a')?.[0]).to.equal(5);
  });
});
