export * from "./peer-mesh.js";
