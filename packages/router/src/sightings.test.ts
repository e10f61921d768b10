import { Dice, type Doc } from '@pumicebarrow/forms';
import { Shelf } from '@pumicebarrow/purge';
import { expect } from 'chai';
import { SharedSound } from './sharedsound.js';
import { Sightings } from './sightings.js';
import { testClock } from './stand.test.js';

describe('what is told of servers that failed', () => {
  const make = () => {
    const time = testClock();
    const shelf = Shelf.make(SharedSound.doc);
    const told: string[] = [];
    const publish = (d: Doc): boolean => {
      told.push(d.name);
      return shelf.offer(d);
    };
    const tools = { clock: time.clock, chance: Dice.seeded(1), shelf, purge: { publish }, self: 'me' };
    return { time, shelf, told, sightings: Sightings.make(tools) };
  };
  it('is told once, and again only when that is old', async () => {
    const { time, told, sightings } = make();
    for (const id of ['a', 'b', 'a']) sightings.tell(id);
    expect(told).to.deep.equal(['sight:a', 'sight:b']);
    await time.pass(600);
    sightings.tell('a');
    expect(told.length).to.equal(3);
  });
  it('is not told where another router has just told it', async () => {
    const { time, shelf, told, sightings } = make();
    const body = { server: 'a', born: 'a', by: 'other' };
    shelf.offer({ name: 'sight:a', mark: [4, 1], body });
    sightings.tell('a');
    expect(told).to.deep.equal([]);
    await time.pass(600);
    sightings.tell('a');
    expect(shelf.mark('sight:a')?.[0]).to.equal(5);
  });
});
