export { CoreFront } from './corefront.js';
export { Main } from './main.js';
export { Startup } from './startup.js';
