// Command operator is not implemented yet.
package main

func main() {}
