export { CoreHttpServer } from './corefront.js';
export { Main } from './main.js';
export { Settings } from './settings.js';
