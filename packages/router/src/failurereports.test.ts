import { Random, type Doc } from '@pumicebarrow/forms';
import { InMemoryRecordStore } from '@pumicebarrow/purge';
import { expect } from 'chai';
import { SharedDocumentCheck } from './shareddocumentcheck.js';
import { FailureReports } from './failurereports.js';
import { testClock } from './fixtures.test.js';

describe('reports of failed servers', () => {
  const make = () => {
    const time = testClock();
    const store = InMemoryRecordStore.make(SharedDocumentCheck.isValid);
    const published: string[] = [];
    const publish = (d: Doc): boolean => {
      published.push(d.name);
      return store.offer(d);
    };
    const tools = { clock: time.clock, random: Random.seeded(1), store, gossip: { publish }, self: 'me' };
    return { time, store, published, sightings: FailureReports.make(tools) };
  };
  it('are sent once, and again only after the last one expired', async () => {
    const { time, published, sightings } = make();
    for (const id of ['a', 'b', 'a']) sightings.report(id);
    expect(published).to.deep.equal(['sight:a', 'sight:b']);
    await time.advance(600);
    sightings.report('a');
    expect(published.length).to.equal(3);
  });
  it('are not sent if another router has just sent one', async () => {
    const { time, store, published, sightings } = make();
    const body = { server: 'a', born: 'a', by: 'other' };
    store.offer({ name: 'sight:a', mark: [4, 1], body });
    sightings.report('a');
    expect(published).to.deep.equal([]);
    await time.advance(600);
    sightings.report('a');
    expect(store.stamp('sight:a')?.[0]).to.equal(5);
  });
});
