import { Flags } from '@oclif/core';

/** Flags that every command has. */
export const Common = {
  at: Flags.string({ description: 'IP:PORT of a daemon that serves control; more may be given', multiple: true, env: 'PUMICEBARROW_AT', default: ['127.0.0.1:8101'] }),
  json: Flags.boolean({ description: 'print JSON' }),
};
