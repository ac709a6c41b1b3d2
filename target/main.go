// Command target is not implemented yet.
package main

func main() {}
