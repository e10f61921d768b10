import { Hash } from '@pumicebarrow/forms';

/** How many names were weighed for rendezvous while something ran. Invariant: what runs does not wait. */
export const Weighings = {
  of(run: () => void): number {
    const plain = Hash.uint32;
    let many = 0;
    Hash.uint32 = (s) => {
      many++;
      return plain(s);
    };
    try {
      run();
    } finally {
      Hash.uint32 = plain;
    }
    return many;
  },
};
