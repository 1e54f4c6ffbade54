/** The form of an address. */
export { Address, ListenAddress, splitAddress } from './address.js'
