import type { webcrypto } from "node:crypto";

// The certificate library's types name the browser's global types; Node has the same ones in a module.
declare global {
    type Crypto = webcrypto.Crypto;
    type CryptoKey = webcrypto.CryptoKey;
    type CryptoKeyPair = webcrypto.CryptoKeyPair;
}
