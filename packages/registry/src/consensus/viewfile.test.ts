import { Err, Ok } from '@pumicebarrow/forms';
import { expect } from 'chai';
import type { CoreStore } from '../state/corestore.js';
import type { View } from './view.js';
import { ViewFile } from './viewfile.js';

const view = (epoch: number): View => ({ epoch, voters: [], chain: [] });
const make = (loaded: View | null) => {
  const disk = { full: false, epochs: [] as number[] };
  const store = {
    put: (_kind: string, newView: View) => {
      if (!disk.full) disk.epochs.push(newView.epoch);
      return Promise.resolve(disk.full ? Err('full') : Ok(undefined));
    },
  } as unknown as CoreStore;
  return { disk, file: ViewFile.make(store, loaded) };
};

describe('ViewFile', () => {
  it('reports the view as saved if there is nothing to write', async () => {
    for (const loaded of [null, view(4)]) {
      const { disk, file } = make(loaded);
      expect(await file.ensureSaved()).to.equal(true);
      expect(disk.epochs).to.deep.equal([]);
    }
  });
  it('reports an unsaved view while the disk fails, and repeats the write on request', async () => {
    const { disk, file } = make(view(4));
    disk.full = true;
    expect(await file.save(view(5))).to.equal('full');
    expect(await file.ensureSaved()).to.equal(false);
    disk.full = false;
    expect(await file.ensureSaved()).to.equal(true);
    expect(disk.epochs).to.deep.equal([5]);
  });
  it('waits for pending writes and ends with the newest view on disk', async () => {
    const { disk, file } = make(null);
    const writes = [file.save(view(1)), file.save(view(2))];
    expect(await file.ensureSaved()).to.equal(true);
    expect(disk.epochs.at(-1)).to.equal(2);
    expect(await Promise.all(writes)).to.deep.equal([null, null]);
  });
});
